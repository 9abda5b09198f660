# A plain worker dies under its lookups while the retry budget has next to nothing
# left.  They may have run, so that no refusal is true; they wait for the budget,
# which refills as requests come.
. edge/lib.sh
RETRY_RATIO=0.04
RETRY_SLACK=0
export FAKE_EVENT_MS=150
start_twins 1
"$build/tool_calls" -k r unfunded 3.5 60 $(router 1) >"$dir/calls" &
calls=$!
sleep 1.1
find_plain_in_use
eval "kill -KILL \$worker_$plain"
wait $calls
awk '$5 == "broken" || $4 == 502 { cut++ }
	END { print "given up: " cut + 0 }' "$dir/calls"
verify 0.9
