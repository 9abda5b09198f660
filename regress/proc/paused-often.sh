# All engines are paused for 1.5 s, six times, under streams.  None of them is lost, and
# no other one could take a stream over: an attempt that is cancelled because its stages
# are silent has no certain successor, and each stream must go on where it is.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 1
load stream /score --name often --count 4 --concurrency 4 --tokens 250 \
	--target "$(router 0)" >"$work/often" &
streams=$!
sleep 0.6
for pause in 1 2 3 4 5 6; do
	for i in 0 1 2 3 4 5; do signal engine-$i STOP; done
	sleep 1.5
	for i in 0 1 2 3 4 5; do signal engine-$i CONT; done
	sleep 0.8
done
wait $streams
cat "$work/often"
verify
