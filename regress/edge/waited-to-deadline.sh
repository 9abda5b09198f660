# A stream waits for an engine until its caller's deadline, which comes before the end of
# the router's own wait.  It has not run and never will; its answer must promise that.
. edge/lib.sh
export FAKE_SLOTS=1 FAKE_EVENT_MS=100
TARGET_MS=1000
start_store
put_config 1
start_worker 1 model a big
start_router 1 a
stream() {
	curl -s -o "$dir/null" -w '%{http_code}\n' -m 8 -X POST -H 'Host: h.example' \
		-H "Attempt-Id: $1" -H 'Authorization: Token key-1' -H 'Token-Count: 100,20' \
		-H "Deadline-Ms: $2" -d '' "http://$(router 1)/s/x"
}
wait_for "ready 1" && wait_for "[ \$(stream try-\$(date +%N) 6000) = 200 ]"
sleep 0.5
stream long 6000 >"$dir/long" &
long=$!
sleep 0.5
echo "waiting until its deadline: $(stream short 300)"
wait $long
echo "the other one: $(cat "$dir/long")"
echo "sent to the engine: $(grep -c '^GOT.*short' "$dir/worker.1.log")"
