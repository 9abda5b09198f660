# A router stops running for 50 to 300 ms at a time, or gets the processor only in
# short turns, before sound engines that now and then let a stream wait for 130 ms.
# It has no retry left.  It must not take its own pause for their silence: no engine
# is called unresponsive or suspected, no stream is given up.
. edge/lib.sh
RETRY_RATIO=0
RETRY_SLACK=0
export FAKE_GAP_MS=110 FAKE_REPORT_MS=5
start_platform
"$build/tool_calls" -k s paused 12 2 $(router 1) >"$dir/calls" &
calls=$!
sleep 1
pause() {
	kill -STOP $router_1
	sleep $1
	kill -CONT $router_1
	sleep $2
}
for ms in 050 100 150 200 250 300 120 180; do
	pause 0.$ms 0.012
	for turn in 1 2 3 4; do pause 0.020 0.003; done
	sleep 0.15
done
for turn in $(seq 250); do pause 0.020 0.003; done
wait $calls
logged 1 'worker-unresponsive' && echo "a sound engine was called unresponsive"
logged 1 'worker-suspected' && echo "a sound engine was suspected"
logged 1 'request-again' && echo "a request was given up"
awk '$5 != "whole" { cut++ } END { print "streams cut: " cut + 0 }' "$dir/calls"
grep -c worker-unresponsive "$dir/router.1.log" >&2
verify 0.95
