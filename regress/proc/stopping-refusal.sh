# A booking ran, but its answer was lost.  The caller resends it to an instance
# that is stopping and no longer reads the key's record.  If that answered
# "not-run", the caller would book again under another key, and the booking
# would run twice.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 2
inject_fault "127.0.0.1:$(port 1)" '{"fault":"delay_ms","value":5000}'
inject_fault "127.0.0.1:$(port 2)" '{"fault":"delay_ms","value":5000}'
load booking /book --name slow --count 4 --concurrency 4 \
	--target "$(router 0)" >"$work/slow" &
slow=$!
all_open() {
	curl -s "http://$(admin 0)/admin/status" | grep -q '"open":4'
}
until_ok all_open
signal router-0 TERM
# A refused request ends at once; an accepted one takes 5 s.
refusing() {
	curl -s -m 0.3 -o /dev/null -w '%{http_code}' "http://$(router 0)/nowhere" |
		grep -q 503
}
until_ok refusing
echo "- under a key"
send_booking 0 /book slow-0
echo "- a lookup"
send_request GET "http://$(router 0)/lookup"
wait $slow
echo "- those that were open"
cat "$work/slow"
wait_exit router-0
echo "exit status $?"
echo "- under the key again, at the other instance"
send_booking 1 /book slow-0
