# A worker's entry is deleted some time after the store has returned from an
# outage.  If it were taken for an entry that expired in the outage, the worker
# would receive requests for another two seconds.  A leaving worker that is
# about to exit would then cut its callers' streams.
. edge/lib.sh
start_platform
fault reset
wait_for "logged 1 platform-unreachable"
fault none
wait_for "logged 1 platform-reachable"
sleep 1.6
kill -KILL $worker_3
wait_for "logged 1 '\"worker-gone\",\"worker\":\"w-3-'"
grep '"worker-gone","worker":"w-3-' "$dir/router.1.log" | sed 's/.*"in_ms":\([0-9]*\).*/gone in \1 ms/'
