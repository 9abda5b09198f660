# An accelerator dies while streams run through it.  Each stream must continue
# from its position with every token correct and delivered once; the failure
# is a cut, a repeated token or a restart from the first token.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 1

echo "- a middle stage dies"
load stream /score --name middle --count 8 --concurrency 8 --tokens 40 \
	--target "$(router 0)" >"$work/middle" &
streams=$!
sleep 0.6
signal engine-1 KILL
wait $streams
cat "$work/middle"

echo "- a first stage dies"
load stream /score --name first --count 8 --concurrency 8 --tokens 40 \
	--target "$(router 0)" >"$work/first" &
streams=$!
sleep 0.6
signal engine-0 KILL
wait $streams
cat "$work/first"

resumed=$(grep 'request-dispatched' "$work/router-0.err" |
	grep -v 'from=0' | grep -c 'attempt=[2-9]')
[ "$resumed" -gt 0 ] && echo "streams were resumed in the middle"
verify
