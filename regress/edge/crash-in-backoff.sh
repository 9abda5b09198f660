# A worker that may not be probed, as it requested a backoff, crashes under a request
# and starts again under its id.  The restart proves the crash: the request must
# become a suspect.
. edge/lib.sh
export FAKE_CRASH_MS=400
start_store
put_config 1
WORKER_ID=same start_worker 1 app a
start_router 1 a
wait_for "ready 1"
wait_for "[ \$(ask 1 ok-\$(date +%N) r/x) = 200 ]" && echo "served"
ask 1 p1 r/poison >"$dir/answer.p" &
sleep 0.1
request_backoff 1 5
ask 1 refused r/x >"$dir/answer"
wait_for "! kill -0 $worker_1 2>/dev/null" && echo "crashed"
WORKER_ID=same start_worker 1 app a
wait_for "logged 1 worker-restarted" && echo "back under its id"
sleep 0.3
grep -c '"request-suspected"' "$dir/router.1.log"
