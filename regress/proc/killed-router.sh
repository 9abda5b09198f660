# A router dies while a booking that it dispatched is in progress, so the
# booking's record names a dispatcher that no longer exists.  The caller sends
# the same key through another router.  If the service cannot safely receive
# the request again, the answer must be "unknown"; a second effect would charge
# an account twice.  If the service honours the key derived by the router, the
# repeated request receives the answer.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 2

echo "- a service that honours no key"
inject_fault "127.0.0.1:$(port 1)" '{"fault":"hang_ms","value":30000,"count":1}'
inject_fault "127.0.0.1:$(port 2)" '{"fault":"hang_ms","value":30000,"count":1}'
send_booking 0 /book bells >"$work/first" &
until_ok grep -q 'intent=bells' "$record"
signal router-0 KILL
send_booking 1 /book bells
send_booking 1 /book bells
echo "effects: $(count_effects bells)"

echo "- a service that honours the derived key"
start_router 0
until_ok ready 0
inject_fault "127.0.0.1:$(port 3)" '{"fault":"hang_ms","value":30000,"count":1}'
send_booking 0 /hire chimes -H 'Magnolia-Deadline-Ms: 1500' >"$work/second" &
until_ok grep -q 'intent=chimes' "$record"
signal router-0 KILL
tries=0
until send_booking 1 /hire chimes | grep -q '^200 ran'; do
	tries=$((tries + 1))
	[ $tries -lt 20 ] || break
	sleep 0.5
done
send_booking 1 /hire chimes
echo "effects: $(count_effects chimes)"
verify
