# An engine and a plain worker refuse requests and name the time for which the
# router is to send them nothing.  A router that keeps only a pause of its own
# sends the next requests there before that time is over.
. edge/lib.sh
start_twins 1
"$build/tool_calls" backoff 12 60 $routers >"$dir/calls" &
calls=$!
sleep 1
find_plain_in_use
request_backoff 1 2
request_backoff $plain 2
sleep 5
request_backoff 1
request_backoff $plain
sleep 3
before=$(grep -c ^GOT "$dir/worker.1.log")
wait $calls
backoffs
[ "$(grep -c ^GOT "$dir/worker.1.log")" -gt "$before" ] && echo "used again"
verify 0.95
