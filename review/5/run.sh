#!/bin/sh
# Nine routers in three zones; one follows the store and the others learn of changes
# from it.  It is partitioned from the store for 5.3 s.  Meanwhile a worker is
# replaced: a new one registers, and the old one's entry is removed without draining,
# while it goes on serving.  The eight other routers reach the store all the time:
# no request may reach the old worker later than 2 s after that.
here=$(cd "$(dirname "$0")" && pwd)
# What was sent, answered and run.
record=$here/record.txt
: >"$record"
. "$here/../lib.sh"

zone_of() { echo a b c | cut -d' ' -f$(($1 % 3 + 1)); }
follows() { http -b -m 1 GET "127.0.0.1:$((base + 90 + $1))" /metrics | grep -q 'magnolia_tree_follows_store 1'; }
followers() { for n in 1 2 3 4 5 6 7 8 9; do follows $n && echo $n; done; }
# The routers' names and links decide which one follows the store.
root=4

mkfifo "$dir/proxy.root" "$dir/proxy.worker"
"$build/tool_proxy" 127.0.0.1:$((base + 1)) $store <>"$dir/proxy.root" 2>/dev/null &
pids="$pids $!"
"$build/tool_proxy" 127.0.0.1:$((base + 2)) $store <>"$dir/proxy.worker" 2>/dev/null &
pids="$pids $!"
start_store
put_config 1 "$ACME"
start_worker 1 app a
start_worker 2 app b
WORKER_STORE=127.0.0.1:$((base + 2)) start_worker 3 app c
for n in 1 2 3 4 5 6 7 8 9; do
	ROUTER_STORE=$store
	[ $n = $root ] && ROUTER_STORE=127.0.0.1:$((base + 1))
	start_router $n $(zone_of $n)
done
others=""
for n in 1 2 3 4 5 6 7 8 9; do
	wait_for "ready $n"
	[ $n = $root ] || others="$others $(router $n)"
done
wait_for '[ "$(followers | tr -d "\n")" = $root ]'
note "router $root follows the store, the others follow it; TROUBLE=$TROUBLE"

"$build/tool_calls" -k br calls 14 120 $others >"$dir/calls" 2>/dev/null &
calls=$!
sleep 4
if [ "$TROUBLE" = 1 ]; then
	note "$(now_us) router $root is partitioned from the store (reset)"
	echo sever >"$dir/proxy.root"
fi
began=$(now_us)
sleep 2.5
start_worker 4 app c
wait_for "[ \$(http -b GET $store '/api/kv-range?PathPrefix=servers/w-4' | grep -c w-4) = 1 ]"
note "$(now_us) worker w-4 has registered"
sleep 0.15
# The old one's entry is removed; it goes on serving for DrainMs and longer.
echo sever >"$dir/proxy.worker"
http GET $store '/stand-in/drop?Key=servers/w-3' >/dev/null
removed=$(now_us)
note "$removed the store has removed the entry of w-3"
# Within the 5.5 s for which the site has it.
sleep_until $((began + 5300000))
echo pass >"$dir/proxy.root"
note "$(now_us) the partition ends"
wait $calls
record_all
awk '{ print $3, $4, $5 }' "$dir/calls" | sort | uniq -c >>"$record"
grep -h '"store-[ud]\|store-down\|store-up\|store-source' "$dir"/router.*.log | cut -c1-160 >>"$record"
awk -v t=$removed '$1 == "GOT" { print $0, "after_removal_s", ($3 - t) / 1e6 }' "$dir/worker.3.log" >>"$record"
note "$(awk -v t=$removed '$1 == "GOT" { s = ($3 - t) / 1e6; if (s > 0) n++; if (s > last) last = s; if (s > 2) late++ }
	END { print "requests at w-3 after its entry was removed:", n + 0, "the last one after", last + 0, "s, later than 2 s:", late + 0 }' "$dir/worker.3.log")"
late=$(awk -v t=$removed '$1 == "GOT" && $3 - t > 2e6' "$dir/worker.3.log" | grep -c .)
[ "$late" -gt 0 ] && verdict yes "$late requests reached w-3 later than DrainMs after it was gone"
verdict no "none reached it later than DrainMs"
