# Guards against routers that exit because the process before them, which is still
# stopping, has one of their addresses, and against one that calls the platform's
# service or its peers before it has all of them.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 2
inject_fault "127.0.0.1:$(port 1)" '{"fault":"delay_ms","value":3000}'
inject_fault "127.0.0.1:$(port 2)" '{"fault":"delay_ms","value":3000}'
load stream /score --name tune --count 8 --concurrency 8 --tokens 60 \
	--target "$(router 0)" >"$work/streams" &
streams=$!
load booking /book --name bells --count 8 --concurrency 8 \
	--target "$(router 0)" >"$work/bookings" &
bookings=$!
all_open() {
	curl -s "http://$(admin 0)/admin/status" | grep -q '"open":16'
}
# waits NAME ADDRESS: tells whether it waits for one of its addresses.
waits() {
	grep -q " 8007 start-delayed why=\"$2 127.*in use" "$work/$1.err"
}
until_ok all_open && echo "16 open"
signal router-0 TERM
start next "$build/magnoliad" --settings "$work/router-0.json"
until_ok waits next listen && echo "the next one waits"
has_ended router-0 || echo "the one before has not ended"
wait $streams
wait $bookings
wait_exit router-0
echo "the one before: status $?"
until_ok ready 0 && echo "the next one is ready"
echo "- streams"
cat "$work/streams"
echo "- bookings"
cat "$work/bookings"
inject_fault "127.0.0.1:$(port 1)" '{"fault":"none"}'
inject_fault "127.0.0.1:$(port 2)" '{"fault":"none"}'
key=choir-key
send_request GET "http://$(router 0)/lookup"

# Each of three routers shares one address with it, and has a platform of its own.
start other "$build/fake_platform" --port "$(port 9)" --state "$work/other.json"
until_ok responds "127.0.0.1:$(port 9)/stats"
stats() {
	curl -s "http://127.0.0.1:$(port 9)/stats"
}
unused=$(stats)
share() {
	sed "s/\"router-0\"/\"router-$1\"/; s/$platform/127.0.0.1:$(port 9)/
		s/\"place\"/\"peers\":[\"$(peer 1)\"],&/
		s/$(router 0)/$3/; s/$(admin 0)/$4/; s/$(peer 0)/$5/" \
		"$work/router-0.json" >"$work/router-$1.json"
	start router-"$1" "$build/magnoliad" --settings "$work/router-$1.json"
	until_ok waits router-"$1" "$2" && echo "$2: waits"
}
share 2 listen "$(router 0)" "$(admin 2)" "$(peer 2)"
share 3 admin "$(router 3)" "$(admin 0)" "$(peer 3)"
share 4 rpc "$(router 4)" "$(admin 4)" "$(peer 0)"
# A last one is stopped while it waits.
share 5 listen "$(router 0)" "$(admin 5)" "$(peer 5)"
signal router-5 TERM
wait_exit router-5
echo "stopped while it waits: status $?"
[ "$(stats)" = "$unused" ] && echo "no calls to the platform's service"
grep -q 'peer-up.*router-[2345]' "$work/router-1.err" || echo "unknown to their peer"
signal next TERM
wait_exit next
echo "status $?"
for i in 2 3 4; do
	until_ok grep -q ' 8001 ' "$work/router-$i.err" && echo "started"
	until_ok grep -q "peer-up.*router-$i" "$work/router-1.err" && echo "known to its peer"
done

# An address that can't be one of this machine's ends it at once.
"$build/magnoliad" --settings "$work/router-0.json" --admin 300.0.0.1:80 2>"$work/wrong"
echo "wrong address: status $?"
sed 's/.*\(1001\)/\1/' "$work/wrong"
"$build/magnoliad" --settings "$work/router-1.json" --instance router-6 \
	--listen "$(router 6)" --admin "$(admin 6)" --rpc "[::1]:$(port 89)" 2>"$work/wrong"
echo "wrong address: status $?"
sed -n 's/.*\(8004\)/\1/p' "$work/wrong"
verify
