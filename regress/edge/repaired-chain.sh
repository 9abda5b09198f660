# An engine in the middle of chains stops answering but holds its connections
# open.  Its streams stall at a healthy first worker.  That worker receives a
# new chain, so that a caller sees a pause instead of a cut stream, and no
# stream runs a second time.  The route allows only one run, so the streams
# cannot be restarted.
. edge/lib.sh
STREAM_ATTEMPTS=1
start_halves
stop_second_half repair
grep -q '^REPATH' "$dir"/worker.*.log && echo "chains were repaired"
logged 1 '"name":"chain-repaired".*"status":202' && echo "and that was logged"
verify 0.8
