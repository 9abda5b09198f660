# A plain worker is paused for 4 s while it gets bookings with a long body, which then
# stays in the router's socket.  Silence is no reason to break a booking off: it goes on
# with its worker.
. edge/lib.sh
BODY_BYTES=4000000 PLAIN_TIMEOUT_MS=8000
start_centre 1 1 1
head -c 3000000 /dev/zero >"$dir/body"
book() {
	curl -s -o "$dir/null" -w '%{http_code}\n' -m 10 -H 'Host: h.example' \
		-H "Attempt-Id: $1" -H 'Authorization: Token key-1' -H 'Expect:' \
		--data-binary @"$dir/body" "http://$(router 1)/b/x"
}
kill -STOP $worker_2
sleep 0.1
book long >"$dir/long" &
long=$!
sleep 4
kill -CONT $worker_2
wait $long
echo "booking: $(cat "$dir/long")"
