# A router reaches no worker any more that holds some of the layers, as when
# its data centre is cut off with half a copy of the model.  Its callers would
# be refused one and all while the balancer sends them there; so it says that
# it is not ready, until a worker has taken the layers over.
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
