# A plain service receives the headers of the request and its caller those of
# the answer; a router that dropped them would change the meaning of both.  The
# bearer key is not forwarded: an endpoint that has it could act as the
# account.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 1
print_told_headers() {
	curl -s -m 5 -D - -o /dev/null -H "Authorization: Bearer choir-key" \
		-H "X-Ask: tomorrow" "$@" | tr -d '\r' | grep -i '^X-Told'
}
echo "- a lookup"
print_told_headers "http://$(router 0)/lookup"
echo "- a booking"
print_told_headers -H "Idempotency-Key: bells" -d '{"intent":"bells"}' \
	"http://$(router 0)/book"
echo "- a long header"
send_request GET "http://$(router 0)/lookup" -H "X-Ask: $(printf '%05000d' 0)"
verify
