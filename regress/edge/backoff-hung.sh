# An engine requests a backoff and hangs.  It must not be probed, so that its
# silence alone has to move its streams.
. edge/lib.sh
start_twins 1
"$build/tool_calls" hung 8 30 $routers >"$dir/calls" &
calls=$!
sleep 1
request_backoff 1 30
wait_for "grep -q ^BACKOFF $dir/worker.1.log"
kill -STOP $worker_1
wait $calls
kill -CONT $worker_1
sleep 0.5
backoffs
verify 1
