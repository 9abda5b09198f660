# The platform's service stops answering while a booking is being recorded, and
# the write is applied after the router gave up.  The caller repeats the same
# key until the answer is "ran".  The late write names a dispatcher that will
# never send: if the record blocked the key, the booking would never run; if
# the record were ignored, it could run twice.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 2
send_booking 0 /book before
signal platform STOP
send_booking 0 /book late | sed 's/ unknown\| not-run/ refused/'
send_booking 1 /book late | sed 's/ unknown\| not-run/ refused/'
signal platform CONT
ran() {
	send_booking "$1" /book late | grep -q '^200 ran'
}
until_ok ran 0
until_ok ran 1
send_booking 0 /book late
send_booking 1 /book late
echo "effects: $(count_effects late)"
verify
