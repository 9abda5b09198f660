# A router is paused while a booking that it reserved is under way, for longer
# than the booking's deadline, and then goes on as if nothing had happened.
# Meanwhile the caller sends the same key through another router.  Neither may
# cause a second effect.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 2

echo "- paused while the service works on it"
for i in 1 2 3; do
	fault "127.0.0.1:$(port $i)" '{"fault":"delay_ms","value":700,"count":1}'
done
book 0 /book bells -H 'Magnolia-Deadline-Ms: 1500' >"$work/first" &
first=$!
sleep 0.3
signal router-0 STOP
sleep 2.5
book 1 /book bells
signal router-0 CONT
wait $first
echo "effects: $(effects bells)"

echo "- the same with a service that honours the derived key"
book 0 /hire chimes -H 'Magnolia-Deadline-Ms: 1500' >"$work/second" &
second=$!
sleep 0.3
signal router-0 STOP
sleep 2.5
taken_over() {
	book 1 /hire chimes | grep -q '^200 ran'
}
until_ok taken_over
signal router-0 CONT
wait $second
book 0 /hire chimes
echo "effects: $(effects chimes)"
verify
