# A router must exit while bookings still wait for a plain worker that is paused.  Their
# callers get an answer, not a connection that closes with the process.
. edge/lib.sh
PLAIN_TIMEOUT_MS=9000
start_centre 1 1 1
kill -TERM $router_1
sleep 2
eval "kill -STOP \$worker_2"
"$build/tool_calls" -k br late 0.2 40 $(router 1) >"$dir/calls"
wait_for "logged 1 stopped" && echo "stopped"
awk '{ print $4, $5 }' "$dir/calls" | sort | uniq -c | awk '{ print $2, $3 }'
verify 0
