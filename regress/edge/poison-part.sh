# Guards against requests that crash workers by a part which they share, no two of
# them alike: once five workers have crashed no more than three reach workers, and
# those that share the caller and the other parts are served.
. edge/lib.sh
export FAKE_EVENT_MS=40
start_four 3
restart_crashed 1 4 &
restarting=$!
"$build/tool_calls" -d -p 15 run 18 120 $routers >"$dir/calls"
touch "$dir/over"
wait $restarting
pids="$pids $(cat "$dir/restarted" 2>/dev/null)"
crash_parts
