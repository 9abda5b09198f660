# An engine in the middle of chains stops answering and keeps its connections
# open.  Its streams stand still at a first worker that is well; that one is
# told of another chain, so that a caller sees a pause instead of a stream that
# is cut, and no stream runs a second time.  The route allows one run, so that
# they cannot begin anew.
. edge/lib.sh
STREAM_ATTEMPTS=1
start_halves
stop_second_half repair
grep -q '^REPATH' "$dir"/worker.*.log && echo "chains were repaired"
logged 1 '"name":"chain-repaired".*"status":202' && echo "and that was logged"
verify 0.8
