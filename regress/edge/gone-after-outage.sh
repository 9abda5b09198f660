# A worker's entry goes some time after the store has come back.  Taken for one
# that had lapsed in the outage, it would get requests for another two seconds,
# as a leaving worker that is about to exit; its callers' streams would be cut.
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
