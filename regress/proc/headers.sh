# A plain service gets what its caller asked in headers, and its caller what it
# answered in headers; a router that dropped them would change what is said.
# The bearer key stays between the caller and the router: an endpoint that saw
# it could act as the account.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 1
told() {
	curl -s -m 5 -D - -o /dev/null -H "Authorization: Bearer choir-key" \
		-H "X-Ask: tomorrow" "$@" | tr -d '\r' | grep -i '^X-Told'
}
echo "- a lookup"
told "http://$(router 0)/lookup"
echo "- a booking"
told -H "Idempotency-Key: bells" -d '{"intent":"bells"}' \
	"http://$(router 0)/book"
echo "- a long header"
ask GET "http://$(router 0)/lookup" -H "X-Ask: $(printf '%05000d' 0)"
verify
