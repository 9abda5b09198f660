# An engine is killed under load.  Streams that had run there for a while did not
# crash it by beginning, and must not become suspects.
. edge/lib.sh
export FAKE_EVENT_MS=80
start_four 2
"$build/tool_calls" -d run 5 120 $routers >"$dir/calls" &
calls=$!
sleep 2.5
kill -KILL $worker_1
wait $calls
suspected=$(grep -h '"request-suspected"' "$dir"/router.*.log | grep -o '"fingerprint":"[0-9a-f]*"' | sort -u)
for event in 10 11 12 13 14 15 16 17 18 19; do
	grep -h '"request-again"' "$dir"/router.*.log | grep "\"last_event\":$event,"
done >"$dir/running"
[ $(grep -c . "$dir/running") -ge 3 ] && echo "running streams broke off"
echo "suspects among them: $(printf '%s' "$suspected" | grep -c -F -f - "$dir/running")"
