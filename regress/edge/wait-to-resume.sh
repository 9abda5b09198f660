# The first engine of a stream dies while the only other chain has no free
# slot.  The stream waits and resumes as soon as one is free.  Formerly nothing
# retried it, and its caller received nothing until it left.
. edge/lib.sh
export FAKE_SLOTS=1 FAKE_EVENT_MS=60
start_store
put_config 1
start_worker 1 model a big
start_worker 4 model b big
start_router 1 a
start_router 2 b
wait_for "ready 1" && wait_for "ready 2"
stream() {
	curl -s -m 5 -X POST -H 'Host: h.example' -H "Attempt-Id: $2" \
		-H 'Authorization: Token key-1' -H 'Token-Count: 100,20' \
		-H 'Deadline-Ms: 6000' -d '' "http://$(router $1)/s/x"
}
wait_for "[ \$(stream 1 try1-\$(date +%N) | grep -c ^id) = 20 ]"
wait_for "[ \$(stream 2 try2-\$(date +%N) | grep -c ^id) = 20 ]"
sleep 0.5
stream 1 waits >"$dir/one" &
one=$!
stream 2 stays >"$dir/two" &
two=$!
sleep 0.5
first=$(sed -n 's/.*"request":"waits","worker":"w-\([0-9]*\)-.*/\1/p' "$dir/router.1.log" | head -n 1)
eval "kill -KILL \$worker_$first"
wait $one $two
echo "events of the stream whose worker died: $(grep -c ^id "$dir/one")"
echo "out of order: $(grep ^id "$dir/one" | awk '$2 != NR' | grep -c .)"
echo "events of the other stream: $(grep -c ^id "$dir/two")"
