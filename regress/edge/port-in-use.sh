# Guards against routers that exit because the process before them, which is still
# stopping, has their ports, and against one that does not serve without its metrics.
. edge/lib.sh
start_twins 2
old=$router_1
mv "$dir/router.1.log" "$dir/router.old.log"
"$build/tool_calls" stop 6 40 $(router 1) $(router 2) >"$dir/calls" &
calls=$!
sleep 1
kill -TERM $old
run_router 1
wait_for "logged 1 start-delayed" && echo "the next one waits"
kill -0 $old && echo "the one before has not ended"
wait $old
echo "the one before: status $?"
wait_for "ready 1" && echo "the next one is ready"
wait $calls
awk '$5 == "broken" || $5 == "garbled" {cut++} END {print "cut off: " cut + 0}' "$dir/calls"
served_by $(router 1) && echo "the next one serves"
verify 0.3

# Another process has the port of the metrics.
"$build/tool_proxy" 127.0.0.1:$((base + 93)) $store <"$dir/null" >"$dir/null" 2>&1 &
holder=$!
pids="$pids $holder"
wait_for "curl -s -o $dir/null http://127.0.0.1:$((base + 93))/"
start_router 3 a
wait_for "ready 3" && wait_for "logged 3 metrics-delayed" && echo "ready without metrics"
kill -KILL $holder
wait_for "curl -s http://127.0.0.1:$((base + 93))/metrics | grep -q magnolia_workers" && echo "metrics served"

# The port of the metrics is that of the router's callers.
write_settings 4 a
sed -i "s/\"metrics_port\":[0-9]*/\"metrics_port\":$((base + 64))/" "$dir/router.4.json"
run_router 4
wait_for "ready 4" && wait_for "logged 4 metrics-delayed" && echo "ready with the metrics' port as its own"
