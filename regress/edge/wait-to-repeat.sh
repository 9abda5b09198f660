# The only worker of a lookup dies, and another one comes a moment later.  A lookup that
# may have run cannot be refused; given up after the wait of a new one, it is lost.
. edge/lib.sh
start_store
put_config 1
start_worker 1 app a
start_router 1 a
wait_for "ready 1"
wait_for "[ \$(ask 1 warm-\$(date +%N) r/x) = 200 ]"
kill -STOP $worker_1
ask 1 repeated r/x >"$dir/status" &
asked=$!
sleep 0.15
kill -KILL $worker_1
sleep 0.6
start_worker 1 app a
wait $asked
echo "lookup: $(cat "$dir/status")"
