# The answer to a booking is lost on its way from a service that honours the
# key derived by the router.  The router, this or another instance, resends
# the request and must send the same key each time: with no key or another one
# the service would treat it as a new booking and lock a second set.  The
# caller's own key must not be forwarded, and a lookup has no key.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 2
service=127.0.0.1:$(port 3)

# Prints the requests that the service received since the previous call, with
# each key replaced by a number.
new_keys() {
	grep "^asked port=$(port 3) method=POST" "$record" | tail -n +"$from" |
		sed 's/.*key=//' | awk 'length($1) != 64 { print "no key"; next }
		!($1 in n) { n[$1] = ++count } { print "key " n[$1] }'
	from=$(($(grep -c "^asked port=$(port 3) method=POST" "$record") + 1))
}
from=1

echo "- one booking, and another"
send_booking 0 /hire first
send_booking 1 /hire second
new_keys

echo "- the answer is lost, the caller asks again at the other instance"
inject_fault "$service" '{"fault":"lose_answer","count":1}'
send_booking 0 /hire third
send_booking 1 /hire third
new_keys | sort -u
echo "effects: $(count_effects third)"

echo "- a lookup, and a service that honours no key"
send_request GET "http://$(router 0)/lookup"
send_booking 0 /book fifth
grep -c "^asked port=$(port 3) method=POST key=\(first\|second\|third\)" \
	"$record"
grep "^asked .* method=GET" "$record" | sed 's/.*key=/lookup: /' | sort -u
verify
