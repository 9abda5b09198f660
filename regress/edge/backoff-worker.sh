# An engine and a plain worker refuse requests and name the time for which the
# router is to send them nothing.  A router that keeps only a pause of its own
# sends the next requests there before that time is over.
. edge/lib.sh
start_twins 1
"$build/tool_calls" backoff 12 60 $routers >"$dir/calls" &
calls=$!
sleep 1
request_backoff 1 2
request_backoff 3 2
sleep 5
request_backoff 1
request_backoff 3
sleep 3
grep -c '^GOT' "$dir/worker.1.log" >"$dir/before.1"
grep -c '^GOT' "$dir/worker.3.log" >"$dir/before.3"
wait $calls
backoffs
for n in 1 3; do
	[ "$(grep -c '^GOT' "$dir/worker.$n.log")" -gt "$(cat "$dir/before.$n")" ] && echo "used again"
done
verify 0.95
