# A caller connects in the last moment before an idle router that was told to stop
# exits.  Its request must be answered, not reset with the process.
. edge/lib.sh
start_platform
kill -TERM $router_1
sleep 2
kill -STOP $router_1
"$build/tool_calls" late 0.1 40 $(router 1) >"$dir/calls" &
calls=$!
sleep 1
kill -CONT $router_1
wait $calls
wait_for "logged 1 stopped" && echo "stopped"
awk '{print $5}' "$dir/calls" | sort | uniq -c | awk '{print $2}'
