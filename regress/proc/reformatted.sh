# Another version of the caller's library resends a booking with the same
# fields in another order.  A byte-by-byte comparison would treat it as another
# booking under a used key, and the caller would receive 422 in place of its
# answer.  A changed value is another booking.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 1
send() {
	curl -s -m 20 -o "$work/body" -w '%{http_code} ' \
		-H "Authorization: Bearer choir-key" \
		-H "Idempotency-Key: bells" -d "$1" "http://$(router 0)/book"
	grep -o '"effect":[0-9]*\|"outcome":"[a-z-]*"' "$work/body"
}
echo "- first"
send '{"intent":"bells","set":4,"day":"friday"}'
echo "- the same, reformatted"
send '{ "day": "friday", "intent": "bells", "set": 4 }'
echo "- another set"
send '{"intent":"bells","set":5,"day":"friday"}'
echo "effects: $(count_effects bells)"
