# A plain worker and an engine that is a first worker answer every question
# about their state and cut every request off.  Callers see bookings fail with
# 502 and streams lost, as long as routers believe the answers: half of all.
# How requests end is what counts, so a few are lost.
. edge/lib.sh
start_platform
curl -s -o "$dir/null" "http://$(worker 7)/stand-in/break"
curl -s -o "$dir/null" "http://$(worker 1)/stand-in/break"
"$build/tool_calls" lying 6 30 $(router 1) $(router 2) >"$dir/calls"
broke=$(cat "$dir"/worker.*.log | grep -c '^BROKE')
[ "$broke" -gt 0 ] && echo "some met a lying worker"
[ "$broke" -lt 40 ] && echo "few met one"
logged 1 '"why":"requests break off"' && echo "and that was logged"
verify 0.7
