# A router, possibly the placer, is killed and started again.  The other router
# continues to serve; the new process takes its place without a wrong answer.
. edge/lib.sh
start_platform
"$build/tool_calls" krout 6 30 $(router 1) $(router 2) >"$dir/calls" &
calls=$!
sleep 1
kill -KILL $router_1
sleep 0.5
start_router 1 a
wait_for "ready 1" && echo "ready again"
wait $calls
verify 0.3
