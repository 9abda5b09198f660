# Guards against the same where an engine holds half of the layers: the first worker of
# a chain crashes, and the layers that it held have to be loaded elsewhere.
. edge/lib.sh
export FAKE_EVENT_MS=40
start_store
put_config 1
for n in 1 2 3 4 5 6; do start_worker $n model a small; done
start_worker 7 app a
routers=""
for n in 1 2 3; do
	start_router $n a
	routers="$routers $(router $n)"
done
for n in 1 2 3; do wait_for "ready $n"; done
wait_for "[ \$(cat $dir/worker.*.log | grep -c ^ORDER) -ge 6 ]"
wait_for "served_by $routers"
KIND=small
restart_crashed 1 6 &
restarting=$!
"$build/tool_calls" -d -p 15 run 20 80 $routers >"$dir/calls"
touch "$dir/over"
wait $restarting
pids="$pids $(cat "$dir/restarted" 2>/dev/null)"
crash_parts
