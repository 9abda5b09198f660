# A whole chain falls silent at once, first worker and all, as when a data
# centre is cut off.  To tell its first worker of another chain would be waited
# for in vain, while callers count the pause: the streams go on elsewhere.
. edge/lib.sh
start_store
put_config 1
start_worker 1 model a small
start_worker 2 model a small
start_worker 3 model a small
start_worker 4 model a small
start_worker 5 app a
start_router 1 a
wait_for "ready 1"
wait_for "[ \$(cat $dir/worker.*.log | grep -c ^ORDER) -ge 4 ]"
wait_for "served_by $(router 1)"
"$build/tool_calls" cut 6 30 $(router 1) >"$dir/calls" &
calls=$!
sleep 2
for n in 1 2 3 4; do
	grep -q '^ORDER.* 0-10' "$dir/worker.$n.log" && first=$n
	grep -q '^ORDER.* 10-20' "$dir/worker.$n.log" && second=$n
done
eval "kill -STOP \$worker_$first \$worker_$second"
wait $calls
logged 1 '"why":"on a suspected worker"' && echo "streams were moved"
logged 1 '"name":"chain-repaired".*"status":0' || echo "no order to a silent worker"
verify 0.7
