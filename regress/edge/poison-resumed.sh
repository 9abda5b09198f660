# A stream goes on at another engine and waits there when it is quarantined, as it
# crashed an engine through another router.  It must be taken back.
. edge/lib.sh
export FAKE_EVENT_MS=100 FAKE_CRASH_MS=2500
start_four 2
# begin ROUTER ID: sends the request and kills its engine soon after it has begun.
begin() {
	ask $1 $2 s/late-poison >"$dir/answer.$2" &
	wait_for "grep -hq '^TOKEN $2 ' $dir/worker.*.log"
	n=$(grep -l "^TOKEN $2 " "$dir"/worker.*.log | sed 's/.*worker.\([0-9]\).*/\1/')
	sleep 0.15
	eval "kill -KILL \$worker_$n"
}
begin 1 p1
wait_for "grep -q '\"request-sent\",\"request\":\"p1\".*\"send\":2' $dir/router.1.log" && echo "resumed"
# The next engine to be killed is not the one where it waits.
waits_at=$(grep '"request-sent","request":"p1".*"send":2' "$dir/router.1.log" | sed 's/.*"worker":"w-\([0-9]\).*/\1/')
request_backoff $waits_at 5
begin 2 p2
wait_for "logged 1 request-quarantined" && echo "quarantined"
sleep 0.3
grep '"request-ended","request":"p1"' "$dir/router.1.log" | grep -o '"why":"[a-z ]*"'
