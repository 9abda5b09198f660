# A key is revoked, and the store is restored from a backup that still contains
# it.  A router that starts before the operator has written again knows only the
# backup; it must not run a request with that key.
. edge/lib.sh
start_twins 2 '"key-1","key-2"'
store_copies
put_config 2
wait_for "logged 1 '\"version\":2,' && logged 2 '\"version\":2,'"
sleep 1
store_returns 300 0 400
start_router 3 a
asked=0
ran=0
ask() {
	curl -s -o "$dir/null" -w '%{http_code}' -X "$2" -H 'Host: h.example' -H "Attempt-Id: k-$1-$asked" \
		-H "Authorization: Token $3" "http://$(router $1)/$4/x"
}
while [ $asked -lt 30 ]; do
	asked=$((asked + 1))
	for n in 1 2 3; do
		[ "$(ask $n GET key-2 r)" = 200 ] && ran=$((ran + 1))
	done
	sleep 0.1
done
echo "requests that ran with the removed key: $ran"
put_config 2
wait_for "logged 3 '\"version\":2,'"
wait_for "ready 3"
for n in 1 2 3; do ask $n GET key-1 r; echo " with the other key"; done
