# A booking's answer is lost on the way back from a service that honours a key
# of the router's own.  The router asks again, here or at another instance,
# and must send the same key each time: without it, or under another one, the
# service would take the second for a new booking and lock a second set.  The
# caller's own key isn't shown, and a lookup has none.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 2
service=127.0.0.1:$(port 3)

# Prints the requests that the service got since the last look, a number in
# place of each key.
asked() {
	grep "^asked port=$(port 3) method=POST" "$record" | tail -n +"$from" |
		sed 's/.*key=//' | awk 'length($1) != 64 { print "no key"; next }
		!($1 in n) { n[$1] = ++count } { print "key " n[$1] }'
	from=$(($(grep -c "^asked port=$(port 3) method=POST" "$record") + 1))
}
from=1

echo "- one booking, and another"
book 0 /hire first
book 1 /hire second
asked

echo "- the answer is lost, the caller asks again at the other instance"
fault "$service" '{"fault":"lose_answer","count":1}'
book 0 /hire third
book 1 /hire third
asked | sort -u
echo "effects: $(effects third)"

echo "- a lookup, and a service that honours no key"
ask GET "http://$(router 0)/lookup"
book 0 /book fifth
grep -c "^asked port=$(port 3) method=POST key=\(first\|second\|third\)" \
	"$record"
grep "^asked .* method=GET" "$record" | sed 's/.*key=/lookup: /' | sort -u
verify
