# The store is restored from a backup twice within three seconds, during a peak
# of three times the load, and one router is stopped during the whole era
# between.  It must not act on what it knew from the first era, nor remain
# placer by an entry from it.
. edge/lib.sh
start_store
put_config 1
start_worker 1 model a big
start_worker 2 model a big
start_worker 3 app a
start_worker 4 app a
wait_for "[ \$(in_store servers/) -eq 4 ]"
store_copies
for n in 1 2 3; do start_router $n a; done
for n in 1 2 3; do wait_for "ready $n"; done
wait_for "[ \$(cat $dir/worker.*.log | grep -c ^ORDER) -ge 2 ]"
wait_for "served_by $(router 1) $(router 2) $(router 3)"
sleep 1
placer=$(cat $dir/router.*.log | grep '"name":"placer".*"self":true' | sed 's/.*"instance":"r-\([0-9]\).*/\1/' | tail -1)
put_config 2
wait_for "logged 1 '\"version\":2,' && logged 2 '\"version\":2,' && logged 3 '\"version\":2,'"
others=$(for n in 1 2 3; do [ $n = $placer ] || router $n; done)
"$build/tool_calls" twice 12 40 $others >"$dir/calls.1" &
calls=$!
sleep 1
"$build/tool_calls" rush 4 80 $others >"$dir/calls.2" &
calls="$calls $!"
eval "kill -STOP \$router_$placer"
store_returns 300 300 300
sleep 1.5
curl -s -o "$dir/null" "http://$store/stand-in/restore?AwayMs=300&LateMs=300&Bump=500"
wait_for "[ \$(grep -c RESTORED $dir/store.log) -eq 2 ]"
eval "kill -CONT \$router_$placer"
sleep 0.5
put_config 2
sleep 2
[ $(in_store mag/placer) -eq 1 ] && echo "there is a placer"
[ $(in_store mag/instance) -eq 3 ] && echo "all routers are listed"
put_config 3
sleep 2
for n in 1 2 3; do logged $n '"version":3,' && echo "configuration 3 is in force"; done
wait $calls
grep -h '"name":"configuration-taken"' $dir/router.*.log | sed 's/.*"instance":"\([^"]*\)".*"version":\([0-9]*\).*/\1 \2/' |
	awk '$2 <= last[$1] { back++ } { last[$1] = $2 } END { print "configurations that went back: " back + 0 }'
echo "calls that failed: $(cat $dir/calls.* | grep -cv ' 200 whole')"
verify 0.99
