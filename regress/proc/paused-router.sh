# A router is paused while a booking that it reserved is in progress, for
# longer than the booking's deadline, and then resumes without noticing the
# pause.  Meanwhile the caller sends the same key through another router.
# Neither router may cause a second effect.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 2

echo "- paused while the service works on it"
for i in 1 2 3; do
	inject_fault "127.0.0.1:$(port $i)" '{"fault":"delay_ms","value":700,"count":1}'
done
send_booking 0 /book bells -H 'Magnolia-Deadline-Ms: 1500' >"$work/first" &
first=$!
sleep 0.3
signal router-0 STOP
sleep 2.5
send_booking 1 /book bells
signal router-0 CONT
wait $first
echo "effects: $(count_effects bells)"

echo "- the same with a service that honours the derived key"
send_booking 0 /hire chimes -H 'Magnolia-Deadline-Ms: 1500' >"$work/second" &
second=$!
sleep 0.3
signal router-0 STOP
sleep 2.5
taken_over() {
	send_booking 1 /hire chimes | grep -q '^200 ran'
}
until_ok taken_over
signal router-0 CONT
wait $second
send_booking 0 /hire chimes
echo "effects: $(count_effects chimes)"
verify
