# Two requests crash each worker that runs them, among many streams that break off
# with them.  They must be found among these, and no other request be refused for
# them.
. edge/lib.sh
export FAKE_EVENT_MS=80
start_four 3
restart_crashed 1 4 &
restarting=$!
"$build/tool_calls" -d run 12 90 $routers >"$dir/calls" &
calls=$!
sleep 1
for n in $(seq 8); do
	ask $((n % 3 + 1)) p$n s/poison-1 >>"$dir/answers" &
	ask $(((n + 1) % 3 + 1)) q$n s/poison-2 >>"$dir/answers"
	sleep 0.9
done
wait $calls
touch "$dir/over"
wait $restarting
pids="$pids $(cat "$dir/restarted")"
crashes=$(grep -c . "$dir/crashes")
[ "$crashes" -le 6 ] && echo "at most three workers crashed by each" || echo "$crashes workers crashed"
quarantined=$(grep -h '"request-quarantined"' "$dir"/router.*.log | grep -o '"fingerprint":"[0-9a-f]*' | sort -u | wc -l)
echo "requests quarantined: $quarantined"
