# The platform's service fails.  Lookups and streams do not depend on it and
# must continue.  A booking cannot be recorded, so it must be refused at once
# with Retry-After; a booking that ran without a record could run twice.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 1
send_booking 0 /book before
signal platform TERM
wait_exit platform

echo "- lookups"
load lookup /lookup --name seats --count 20 --concurrency 4 \
	--target "$(router 0)"
echo "- streams"
load stream /score --name tune --count 4 --concurrency 4 --tokens 5 \
	--target "$(router 0)"
echo "- a booking under a new key, and one under a key used before"
send_booking 0 /book during | sed 's/ unknown\| not-run/ refused/'
send_booking 0 /book before
echo "effects: $(count_effects during) $(count_effects before)"

echo "- the service returns"
start_platform
back() {
	send_booking 0 /book during | grep -q '^200 ran'
}
until_ok back
send_booking 0 /book during
send_booking 0 /book before
echo "effects: $(count_effects during) $(count_effects before)"
verify
