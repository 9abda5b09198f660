# End-to-end test: a set of objects is published, a router applies it, a
# streamed answer passes through a chain of three stages, and a booking has
# exactly one effect.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 1

echo "- a streamed answer"
load stream /score --name tune --count 1 --tokens 6 --target "$(router 0)"
grep -c 'step .* index=5' "$record"

echo "- a booking, and the same again under its key"
load booking /book --name bells --count 1 --target "$(router 0)"
load booking /book --name bells --count 1 --target "$(router 0)"
grep -c '^effect .* intent=bells-0' "$record"

verify
