# Guards against a part that crashes workers again once all routers were killed: no
# request with it may reach a worker later than 3 s after they are ready again.
. edge/lib.sh
export FAKE_EVENT_MS=40
start_four 3
restart_crashed 1 4 &
restarting=$!
"$build/tool_calls" -d -p 15 before 12 120 $routers >"$dir/calls.before"
grep -hq '"trait-quarantined".*"in_doubt":"0"' "$dir"/router.*.log && echo "quarantined"
for n in 1 2 3; do eval "kill -KILL \$router_$n"; done
# The ports of a killed process are free once it is gone.
wait $router_1 $router_2 $router_3 2>/dev/null
for n in 1 2 3; do start_router $n a; done
for n in 1 2 3; do wait_for "ready $n"; done
sleep 3
"$build/tool_calls" -d -p 15 after 8 120 $routers >"$dir/calls.after"
touch "$dir/over"
wait $restarting
pids="$pids $(cat "$dir/restarted")"
echo "arrivals: $(grep -h '^GOT.*after-crash-' "$dir"/worker.*.log | grep -c .)"
awk '$3 == "s" && $2 !~ /-crash-/ { calls++; served += $4 == 200 && $5 == "whole" }
	END { print "sound ones: " (served >= 0.9 * calls ? "served" : served " of " calls) }' "$dir/calls.after"
