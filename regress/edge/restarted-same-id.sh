# An engine requests a long backoff, crashes and starts again under its id.  What
# the old process wanted and held must not be expected of the new one.
. edge/lib.sh
start_store
put_config 1
WORKER_ID=w-again
start_worker 1 model a big
WORKER_ID=
start_worker 5 app a
start_router 1 a
wait_for "ready 1"
wait_for "served_by $(router 1)" && echo "served"
request_backoff 1 600
"$build/tool_calls" before 0.2 20 $(router 1) >"$dir/null"
wait_for "logged 1 worker-backoff" && echo "in backoff"
kill -KILL $worker_1
sleep 0.3
: >"$dir/worker.1.log"
WORKER_ID=w-again
start_worker 1 model a big
wait_for "logged 1 worker-restarted" && echo "restart seen"
wait_for "grep -q ^ORDER $dir/worker.1.log" && echo "layers ordered"
wait_for "served_by $(router 1)" && echo "served again"
