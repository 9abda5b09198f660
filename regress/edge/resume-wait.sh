# The engine of streams dies while the only other one is paused for 2 s.  Callers of this
# route leave after 4 s of silence, four times its latency target: streams must wait for
# the other engine, not be given up after the 1.5 s that suit a caller who leaves after two.
. edge/lib.sh
TARGET_MS=1000
start_twins 1
"$build/tool_calls" -k s warm 0.5 20 $(router 1) >"$dir/warm"
eval "kill -STOP \$worker_1"
sleep 1
"$build/tool_calls" -k s waits 0.3 40 $(router 1) >"$dir/calls" &
calls=$!
sleep 0.35
eval "kill -KILL \$worker_2"
sleep 2
eval "kill -CONT \$worker_1"
wait $calls
awk '$5 == "broken" || $4 == 502 { cut++ } END { print "given up: " cut + 0 }' "$dir/calls"
verify 0.9
