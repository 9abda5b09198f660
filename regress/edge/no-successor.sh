# An engine hangs for a moment under streams that cannot be sent elsewhere: the router
# has no retry left, or all engines hang together.  Its attempt is all that a stream
# has; given up before the next one is certain, the stream would be lost, though it
# goes on as soon as its engine does.  The same holds for lookups at a plain worker.
. edge/lib.sh
RETRY_RATIO=0
RETRY_SLACK=0
start_twins 1
hang() {
	for n in "$@"; do eval "kill -STOP \$worker_$n"; done
	sleep 0.4
	for n in "$@"; do eval "kill -CONT \$worker_$n"; done
}
"$build/tool_calls" -k ssr unretried 4 30 $(router 1) >"$dir/calls.1" &
calls=$!
sleep 1
hang 1 3
sleep 0.5
hang 2 4
wait $calls
# Without a peer that could take them.
kill -KILL $router_1
RETRY_RATIO=0.2
RETRY_SLACK=200
start_router 2 a
wait_for "ready 2" && wait_for "served_by $(router 2)"
sleep 2
"$build/tool_calls" -k s crowded 3 30 $(router 2) >"$dir/calls.2" &
calls=$!
sleep 1
hang 1 2
wait $calls
for n in 1 2; do
	awk '$5 == "broken" || $4 == 502 { cut++ }
		END { print "given up: " cut + 0 }' "$dir/calls.$n"
done
verify 0.7
