# An instance is stopped while it serves streams and bookings.  Every connected
# caller must receive the complete answer; a connection cut by the stop would
# lose a stream or leave the outcome of a booking unknown.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 1
inject_fault "127.0.0.1:$(port 1)" '{"fault":"delay_ms","value":1500}'
inject_fault "127.0.0.1:$(port 2)" '{"fault":"delay_ms","value":1500}'

load stream /score --name tune --count 8 --concurrency 8 --tokens 60 \
	--target "$(router 0)" >"$work/streams" &
streams=$!
load booking /book --name bells --count 8 --concurrency 8 \
	--target "$(router 0)" >"$work/bookings" &
bookings=$!
sleep 0.5
signal router-0 TERM
sleep 0.1
ready 0 || echo "the health check fails"
wait $streams
wait $bookings
wait_exit router-0
echo "exit status $?"
echo "- streams"
cat "$work/streams"
echo "- bookings"
cat "$work/bookings"
grep -c 'magnoliad.*800[23] ' "$work/router-0.err"
verify
