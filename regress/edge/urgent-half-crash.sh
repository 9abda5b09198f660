# Guards against less urgent requests that take the engines that are left: half of them
# crash, and do not come back.  What ran there must not be refused without a wait.
. edge/lib.sh
export PRIORITIES=1 FAKE_SLOTS=32 FAKE_EVENT_MS=50
start_four 2
crash_half() { kill -KILL $worker_1 $worker_2; }
serve_by_priority crash_half
cat "$dir"/router.*.log | grep '"status":502' >"$dir/lost"
echo "lost for no room in time: $(grep -c '"why":"no room in time"' "$dir/lost")"
