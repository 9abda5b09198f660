# A request crashes an engine while the only other stream there is between two
# events.  That nothing was heard from the engine after the request was sent must
# not clear the request: its connection was open until the crash.
. edge/lib.sh
export FAKE_EVENT_MS=600
start_store
put_config 1
start_worker 1 model a big
start_worker 5 app a
start_router 1 a
wait_for "ready 1"
wait_for "[ \$(cat $dir/worker.*.log | grep -c ^ORDER) -ge 1 ]"
wait_for "[ \$(ask 1 ok-\$(date +%N) r/x) = 200 ]"
wait_for "logged 1 '\"worker-seen\"'"
sleep 1
ask 1 slow s/slow >"$dir/answer" &
wait_for "grep -q '^TOKEN slow' $dir/worker.1.log"
sleep 0.05
ask 1 p1 s/poison >"$dir/answer.p"
wait_for "logged 1 worker-died" && echo "died"
fingerprint=$(grep '"request-again","request":"p1"' "$dir/router.1.log" | grep -o '"fingerprint":"[0-9a-f]*"' | head -n 1)
echo "suspected: $(grep '"request-suspected"' "$dir/router.1.log" | grep -c "$fingerprint")"
