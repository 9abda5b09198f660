# Guards against streams whose last run is written to a connection to an engine that has
# crashed in the same moment as their first one: that it has not run is then unknown.
. edge/lib.sh
export PRIORITIES=1 FAKE_SLOTS=32 FAKE_EVENT_MS=50
start_four 2
crash_half() { kill -KILL $worker_1 $worker_2; }
serve_by_priority crash_half >"$dir/served"
cat "$dir"/router.*.log | grep '"status":502' >"$dir/lost"
echo "lost for a second crash: $(grep -c '"why":"connection broke"' "$dir/lost")"
