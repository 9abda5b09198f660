# Guards against a worker that is missing for the rest of a script because the process
# before it, which was killed, still has its port.
. edge/lib.sh
start_store
put_config 1
"$build/tool_proxy" $(worker 1) $store <"$dir/null" >"$dir/null" 2>&1 &
holder=$!
pids="$pids $holder"
wait_for "curl -s -o $dir/null http://$(worker 1)/"
start_worker 1 model a big
start_worker 2 app a
start_router 1 a
sleep 1
[ -n "$(began $worker_1 XZ)" ] && echo "the worker waits"
kill -KILL $holder
wait_for "grep -q ^ORDER $dir/worker.1.log" && echo "the worker has layers"
wait_for "served_by $(router 1)" && echo "served"
