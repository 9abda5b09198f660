# An accelerator hangs while streams run through it: its connections stay open
# but no data arrives.  Each stream must continue after a short delay, complete
# and correct; the failure is a stream that stalls until its deadline.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 1
load stream /score --name hung --count 8 --concurrency 8 --tokens 40 \
	--target "$(router 0)" >"$work/hung" &
streams=$!
sleep 0.6
signal engine-1 STOP
signal engine-2 STOP
wait $streams
cat "$work/hung"
signal engine-1 CONT
signal engine-2 CONT
sleep 0.5
echo "- once they go on"
load stream /score --name after --count 8 --concurrency 8 --tokens 10 \
	--target "$(router 0)"
verify
