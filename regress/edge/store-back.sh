# The store is unreachable for some seconds and returns.  The first watch after
# that must be answered at once: one that stayed open would confirm only at its
# end that keys can be checked again, and callers would be refused meanwhile.
. edge/lib.sh
start_platform
grep -c '^WATCH 10000$' "$dir/store.log" >"$dir/null" && echo "watches stay open in calm times"
fault reset
wait_for "logged 1 platform-unreachable"
lines=$(wc -l <"$dir/store.log")
fault none
wait_for "logged 1 platform-reachable"
tail -n +$((lines + 1)) "$dir/store.log" | grep '^WATCH' | head -n 1
