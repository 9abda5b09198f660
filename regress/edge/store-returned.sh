# The store is restored from a backup that lacks the routers, the placer's
# entry, the workers' layers and the newest configuration, and issues the same
# revisions again.  A router that continued its watch would never see the
# present state of the store, and one that trusted the backup would refuse what
# its workers could run.
. edge/lib.sh
start_store
put_config 1
start_worker 1 model a big
start_worker 2 model b big
start_worker 3 app a
start_worker 4 app b
wait_for "[ \$(in_store servers/) -eq 4 ]"
store_copies
start_router 1 a
start_router 2 b
start_router 3 a
for n in 1 2 3; do wait_for "ready $n"; done
wait_for "[ \$(cat $dir/worker.*.log | grep -c ^ORDER) -ge 2 ]"
wait_for "served_by $(router 1) $(router 2) $(router 3)"
put_config 2
wait_for "logged 1 '\"version\":2,' && logged 2 '\"version\":2,'"
orders=$(cat $dir/worker.*.log | grep -c ^ORDER)
"$build/tool_calls" returned 9 60 $(router 1) $(router 2) $(router 3) >"$dir/calls" &
calls=$!
sleep 1
store_returns 600 800 ${BUMP:-400}
sleep 2
[ $(in_store mag/instance) -eq 3 ] && echo "all routers are listed after 2 s"
[ $(in_store mag/placer) -eq 1 ] && echo "there is a placer after 2 s"
put_config 2
sleep 0.5
put_config 3
sleep 2
logged 1 '"version":3,' && logged 2 '"version":3,' && logged 3 '"version":3,' &&
	echo "the next configuration is in force after 2 s"
wait $calls
[ $(cat $dir/worker.*.log | grep -c ^ORDER) -eq $orders ] && echo "no layer was ordered anew"
echo "calls that failed: $(grep -cv ' 200 whole' $dir/calls)"
verify 0.99
