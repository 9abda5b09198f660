# An engine without layers says in its answers that it is leaving, while the list
# says that it is ready.  Layers that it were ordered to hold would be lost with
# it.
. edge/lib.sh
start_store
put_config 1
for n in 1 2; do start_worker $n model a big; done
wait_for "leave 2"
start_router 1 a
wait_for "ready 1"
wait_for "grep -q ^ORDER $dir/worker.1.log" && echo "layers ordered"
sleep 2
echo "orders to the leaving one: $(grep -c ^ORDER "$dir/worker.2.log")"
