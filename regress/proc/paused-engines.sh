# All engines are paused for 1.5 s under streams.  None of them is lost, and no other one
# could take a stream over; each stream must go on with the engines that it has.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 1
load stream /score --name paused --count 8 --concurrency 8 --tokens 60 \
	--target "$(router 0)" >"$work/paused" &
streams=$!
sleep 0.6
for i in 0 1 2 3 4 5; do signal engine-$i STOP; done
sleep 1.5
for i in 0 1 2 3 4 5; do signal engine-$i CONT; done
wait $streams
cat "$work/paused"
verify
