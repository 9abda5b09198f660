# A whole chain falls silent at once, including its first worker, as when a data
# centre is cut off.  A repair order to the first worker would never be answered
# while the pause grows, so the streams restart elsewhere.
. edge/lib.sh
start_halves
"$build/tool_calls" cut 6 30 $(router 1) >"$dir/calls" &
calls=$!
sleep 2
for n in 1 2 3 4; do
	grep -q '^ORDER.* 0-10' "$dir/worker.$n.log" && first=$n
	grep -q '^ORDER.* 10-20' "$dir/worker.$n.log" && second=$n
done
eval "kill -STOP \$worker_$first \$worker_$second"
wait $calls
logged 1 '"why":"on a suspected worker"' && echo "streams were moved"
logged 1 '"name":"chain-repaired".*"status":0' || echo "no order to a silent worker"
verify 0.7
