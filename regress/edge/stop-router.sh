# A router is told to stop under load.  It reports that it is not ready, and
# every request that it has read receives its complete answer before it exits.
. edge/lib.sh
start_platform
"$build/tool_calls" stop 5 30 $(router 1) $(router 2) >"$dir/calls" &
calls=$!
sleep 1.5
kill -TERM $router_1
wait_for "! ready 1" && echo "not ready"
wait_for "logged 1 stopped" && echo "stopped"
wait $calls
awk '$5 == "broken" || $5 == "garbled" {cut++} END {print "cut off: " cut + 0}' "$dir/calls"
verify 0.3
