# A peer finds no worker for a request that ran at the router which forwarded it.  It
# must refuse it: an answer that promises nothing counts there as runs that the peer
# used, and ends a stream that could go on.
. edge/lib.sh
start_store
put_config 1
start_worker 1 app a
start_router 1 a
wait_for "ready 1"

# forwarded RUNS PATH: sends a request as another router does, which has counted so
# many runs, and prints the status of the answer.
forwarded() {
	curl -s -m 8 -o "$dir/null" -w '%{http_code}\n' -H 'Host: h.example' \
		-H "Attempt-Id: f-$(date +%N)" -H 'Authorization: Token key-1' \
		-H 'Token-Count: 100,20' -H 'Deadline-Ms: 3000' \
		-H "Magnolia-Forwarded: $1,$1" "http://127.0.0.1:$((base + 81))/$2"
}
wait_for "[ \$(forwarded 0 r/x) = 200 ]" && echo "a lookup is served"
echo "streams without a worker: $(forwarded 0 s/x) $(forwarded 1 s/x)"
kill -STOP $worker_1
echo "a lookup that may have run: $(forwarded 1 r/x)"
