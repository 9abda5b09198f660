# A caller disconnects in the middle of a long answer.  The engines must stop:
# otherwise they process tokens that nobody receives, other callers wait
# longer, and the endpoint's owner sees load without a caller.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 1
start caller curl -s -N -H "Authorization: Bearer choir-key" \
	-d '{"prompt":"gone","max_tokens":5000,"stream":true}' \
	"http://$(router 0)/score"
steps() {
	grep -c '^step ' "$record"
}
has_begun() {
	[ "$(steps)" -gt 9 ]
}
idle() {
	curl -s "http://$(admin 0)/admin/status" | grep -q '"open":0'
}
until_ok has_begun && echo "the stream runs"
signal caller KILL
until_ok idle && echo "the router has ended it"
sleep 0.3
before=$(steps)
sleep 0.7
[ "$(steps)" = "$before" ] && echo "the engines have stopped"
[ "$before" -lt 9000 ] && echo "long before the last token"
curl -s "http://$(admin 0)/metrics" |
	grep -o '^magnolia_requests_unknown_total .*'
