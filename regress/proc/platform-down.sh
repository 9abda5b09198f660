# The platform's service goes away.  Lookups and streams need nothing of it
# and must go on.  A booking can't be recorded, so it must be refused at once
# with when to come back; a booking that ran without a record could run twice.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 1
book 0 /book before
signal platform TERM
ended platform

echo "- lookups"
load lookup /lookup --name seats --count 20 --concurrency 4 \
	--target "$(router 0)"
echo "- streams"
load stream /score --name tune --count 4 --concurrency 4 --tokens 5 \
	--target "$(router 0)"
echo "- a booking under a new key, and one under a key used before"
book 0 /book during | sed 's/ unknown\| not-run/ refused/'
book 0 /book before
echo "effects: $(effects during) $(effects before)"

echo "- the service returns"
start_platform
back() {
	book 0 /book during | grep -q '^200 ran'
}
until_ok back
book 0 /book during
book 0 /book before
echo "effects: $(effects during) $(effects before)"
verify
