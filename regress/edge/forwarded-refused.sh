# Streams lose their engines while no other one answers, and the peer that they are
# forwarded to refuses them.  A stream that ends with the refusal is lost, though an
# engine is back within the second and its caller still waits.
. edge/lib.sh
export FAKE_EVENT_MS=50 STREAM_ATTEMPTS=3
RETRY_RATIO=1
start_centre 3 1 2
kill -STOP $worker_3
sleep 1.5
"$build/tool_calls" -d -k s refused 2.5 30 $(router 1) >"$dir/calls" &
calls=$!
sleep 1.5
kill -KILL $worker_1 $worker_2
sleep 0.7
kill -CONT $worker_3
wait $calls
logged 1 '"name":"request-forwarded"' && echo "forwarded"
awk '$4 == 200 && $5 == "broken" { cut++ }
	END { print "cut: " cut + 0 }' "$dir/calls"
verify 0.4
