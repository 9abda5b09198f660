# A booking ran, and its answer was lost on the way.  The caller sends it again
# and meets an instance that is stopping, which reads nothing of the key.  Told
# "not-run", the caller would book anew under another key and have it twice.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 2
fault "127.0.0.1:$(port 1)" '{"fault":"delay_ms","value":5000}'
fault "127.0.0.1:$(port 2)" '{"fault":"delay_ms","value":5000}'
load booking /book --name slow --count 4 --concurrency 4 \
	--target "$(router 0)" >"$work/slow" &
slow=$!
all_open() {
	curl -s "http://$(admin 0)/admin/status" | grep -q '"open":4'
}
until_ok all_open
signal router-0 TERM
# A request that is refused ends at once; one that is taken takes 5 s.
refusing() {
	curl -s -m 0.3 -o /dev/null -w '%{http_code}' "http://$(router 0)/nowhere" |
		grep -q 503
}
until_ok refusing
echo "- under a key"
book 0 /book slow-0
echo "- a lookup"
ask GET "http://$(router 0)/lookup"
wait $slow
echo "- those that were open"
cat "$work/slow"
ended router-0
echo "exit status $?"
echo "- under the key again, at the other instance"
book 1 /book slow-0
