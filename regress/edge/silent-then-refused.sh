# An engine falls silent under its streams, and the other one is full and refuses
# them.  A stream whose attempt ended when the next one was sent has no chain left,
# though its engine goes on before its caller leaves.
. edge/lib.sh
start_twins 1
"$build/tool_calls" -k s refused 5 30 $(router 1) >"$dir/calls" &
calls=$!
sleep 1
curl -s -o "$dir/null" "http://$(worker 2)/stand-in/full"
eval "kill -STOP \$worker_1"
sleep 1.7
eval "kill -CONT \$worker_1"
wait $calls
awk '$5 == "broken" || $4 == 502 { cut++ }
	END { print "given up: " cut + 0 }' "$dir/calls"
verify 0.2
