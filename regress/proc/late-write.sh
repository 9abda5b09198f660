# The platform's service stops answering while a booking is being recorded,
# and the write lands after the router gave up.  The caller sends the same key
# until it is told that it ran.  The late write names a dispatcher that will
# never send; if it stuck, the booking would never be made, and if it were
# taken for nothing, it could be made twice.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 2
book 0 /book before
signal platform STOP
book 0 /book late | sed 's/ unknown\| not-run/ refused/'
book 1 /book late | sed 's/ unknown\| not-run/ refused/'
signal platform CONT
ran() {
	book "$1" /book late | grep -q '^200 ran'
}
until_ok ran 0
until_ok ran 1
book 0 /book late
book 1 /book late
echo "effects: $(effects late)"
verify
