# All plain workers request a backoff.  A router that uses workers without room
# for lack of others sends to them during it.
. edge/lib.sh
start_twins 1
"$build/tool_calls" backoff 8 40 $routers >"$dir/calls" &
calls=$!
sleep 1
request_backoff 3 2
request_backoff 4 2
sleep 3
request_backoff 3
request_backoff 4
wait_for "served_by $routers" && echo "served again"
wait $calls
backoffs
verify 0.5
