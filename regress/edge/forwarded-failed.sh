# A lookup breaks at a peer that it was forwarded to, and the peer has no other worker.
# The route leaves a run: the lookup must not end while a worker is about to come back.
. edge/lib.sh
start_cut_off 2
cut_off sever 1
kill -KILL $worker_4
"$build/tool_calls" cut 2 60 $(router 1) >"$dir/calls"
for n in 1 2 3; do
	[ $n -gt 1 ] && wait_for "[ \$(ask 1 warm-\$(date +%N) r/x) = 200 ]"
	kill -STOP $worker_3
	ask 1 failed-$n r/x >"$dir/status" &
	asked=$!
	sleep 0.15
	kill -KILL $worker_3
	sleep 0.3
	start_worker 3 app a
	wait $asked
	echo "lookup: $(cat "$dir/status")"
done
