# An instance is stopped while 200 streams and bookings are open.  None may be
# cut off, and the process must exit by itself with status 0.
. "$(dirname "$0")/lib.sh"
init "$1"
write_set
sed -i 's/"concurrency":16/"concurrency":64/; s/"concurrency":32/"concurrency":128/' \
	"$set"
start_platform
engine_threads=200
for i in 0 1 2 3 4 5; do
	start_engine $i
done
start_plain 1
start_plain 2
until_ok apply
threads=300
start_router 0
until_ok ready 0
inject_fault "127.0.0.1:$(port 1)" '{"fault":"delay_ms","value":2000}'
inject_fault "127.0.0.1:$(port 2)" '{"fault":"delay_ms","value":2000}'
load stream /score --name tune --count 120 --concurrency 120 --tokens 30 \
	--target "$(router 0)" >"$work/streams" &
streams=$!
load booking /book --name bells --count 80 --concurrency 80 \
	--target "$(router 0)" >"$work/bookings" &
bookings=$!
all_open() {
	curl -s "http://$(admin 0)/admin/status" | grep -q '"open":200'
}
until_ok all_open && echo "200 open"
signal router-0 TERM
wait $streams
wait $bookings
wait_exit router-0
echo "exit status $?"
echo "- streams"
cat "$work/streams"
echo "- bookings"
cat "$work/bookings"
verify
