# A router no longer reaches any worker that holds some of the layers, as when
# its data centre is cut off with part of the model.  It would refuse all
# callers that the balancer sends to it, so it reports that it is not ready
# until a worker has loaded the missing layers.
. edge/lib.sh
start_store
put_config 1
start_worker 1 model a small
start_worker 2 model a small
start_worker 5 app a
start_router 1 a
wait_for "ready 1"
wait_for "[ \$(cat $dir/worker.*.log | grep -c ^ORDER) -ge 2 ]"
wait_for "served_by $(router 1)"
kill -KILL $worker_2
wait_for "! ready 1" && echo "not ready without a chain"
start_worker 3 model a small
wait_for "ready 1" && echo "ready again"
wait_for "served_by $(router 1)" && echo "streams are served"
