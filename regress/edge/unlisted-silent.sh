# Guards against a router that ends streams because the entry of their engine is gone:
# an engine that leaves unannounced serves on, and one that was silent for a while
# writes its entry again.  The streams may run once.
. edge/lib.sh
STREAM_ATTEMPTS=1
start_twins 1
"$build/tool_calls" -k s unlisted 4 30 $(router 1) >"$dir/calls" &
calls=$!
sleep 1
kill -STOP $worker_1
sleep 1.5
kill -CONT $worker_1
wait $calls
logged 1 worker-gone && echo "an entry was gone"
awk '$5 == "broken" || $4 == 502 { cut++ }
	END { print "given up: " cut + 0 }' "$dir/calls"
verify 0.2
