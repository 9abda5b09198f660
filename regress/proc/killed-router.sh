# A router dies while a booking that it dispatched is under way, so the
# record of the booking names a dispatcher that is gone.  The caller sends the
# same key through another router.  If the service can't be asked again
# safely, the caller must hear unknown; a second effect would dock an account
# twice.  If the service honours a key that the router derives, the repeat
# gets the answer.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 2

echo "- a service that honours no key"
fault "127.0.0.1:$(port 1)" '{"fault":"hang_ms","value":30000,"count":1}'
fault "127.0.0.1:$(port 2)" '{"fault":"hang_ms","value":30000,"count":1}'
book 0 /book bells >"$work/first" &
until_ok grep -q 'intent=bells' "$record"
signal router-0 KILL
book 1 /book bells
book 1 /book bells
echo "effects: $(effects bells)"

echo "- a service that honours the derived key"
start_router 0
until_ok ready 0
fault "127.0.0.1:$(port 3)" '{"fault":"hang_ms","value":30000,"count":1}'
book 0 /hire chimes -H 'Magnolia-Deadline-Ms: 1500' >"$work/second" &
until_ok grep -q 'intent=chimes' "$record"
signal router-0 KILL
tries=0
until book 1 /hire chimes | grep -q '^200 ran'; do
	tries=$((tries + 1))
	[ $tries -lt 20 ] || break
	sleep 0.5
done
book 1 /hire chimes
echo "effects: $(effects chimes)"
verify
