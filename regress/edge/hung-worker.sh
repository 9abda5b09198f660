# An engine stops answering but holds its connections open, as a frozen machine
# does.  Callers leave after two seconds of silence, so the silence itself must
# cause their streams to be moved.
. edge/lib.sh
start_platform
"$build/tool_calls" hung 6 30 $(router 1) $(router 2) >"$dir/calls" &
calls=$!
sleep 2
kill -STOP $worker_1
sleep 3
kill -CONT $worker_1
wait $calls
verify 0.3
