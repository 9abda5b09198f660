# The store is unreachable for some seconds and returns.  The first watch after
# that must be answered at once: one that stayed open would confirm only at its
# end that keys can be checked again, and callers would be refused meanwhile.
# It is router 1's: router 2, with a view of its own, need not have noticed.
. edge/lib.sh
views="=127.0.0.1:$((base + 1))"
store_of() { echo 127.0.0.1:$((base + 3 - $1)); }
watches_since() { tail -n +$(($1 + 1)) "$dir/store.log" | grep "^WATCH.* view $2"; }

mkfifo "$dir/proxy"
"$build/tool_proxy" 127.0.0.1:$((base + 2)) $store <>"$dir/proxy" 2>"$dir/null" &
pids="$pids $!"
start_platform
for view in 0 1; do
	grep -q "^WATCH 10000 view $view$" "$dir/store.log" && echo "view $view: watches stay open in calm times"
done
fault reset
wait_for "logged 1 platform-unreachable"
lines=$(wc -l <"$dir/store.log")
fault none
wait_for "logged 1 platform-reachable"
watches_since $lines 0 | head -n 1

# Router 2 sleeps through a second outage, and is the first to watch after it.
wait_for "ready 2"
kill -STOP $router_2
: >"$dir/router.1.log"
fault reset
wait_for "logged 1 platform-unreachable"
kill -STOP $router_1
lines=$(wc -l <"$dir/store.log")
fault none
put_config 2
kill -CONT $router_2
wait_for "watches_since $lines 1 >$dir/null" && echo "router 2 watches"
kill -CONT $router_1
wait_for "logged 1 platform-reachable"
watches_since $lines 0 | head -n 1

# Router 1 alone loses the store, follows router 2, and returns to the store.
wait_for "ready 1 && ready 2"
: >"$dir/router.1.log"
echo sever >"$dir/proxy"
wait_for "logged 1 '\"source\":\"r-2\"'" && echo "router 1 follows router 2"
lines=$(wc -l <"$dir/store.log")
echo pass >"$dir/proxy"
wait_for "logged 1 '\"source\":\"store\"'" && echo "router 1 follows the store"
wait_for "watches_since $lines 0 >$dir/null"
watches_since $lines 0 | head -n 1
