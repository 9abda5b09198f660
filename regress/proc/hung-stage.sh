# An accelerator hangs while streams run through it: its connections stay up
# and nothing comes.  A caller must see its stream go on after a short wait,
# whole and right; a stream that stands still until its deadline is the fault.
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
