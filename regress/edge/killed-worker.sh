# An engine in the middle of the chains is killed under load and never returns.
# Its streams continue on other workers: a caller sees a pause and every event
# once.
. edge/lib.sh
start_platform
"$build/tool_calls" kill 6 30 $(router 1) $(router 2) >"$dir/calls" &
calls=$!
sleep 2
kill -KILL $worker_2
wait $calls
verify 0.5
