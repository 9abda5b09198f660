# A request may be sent to four workers and crashes each of them.  Once it is
# quarantined it is not sent again for the same caller, and a request that waits
# for its worker elsewhere is taken back.
. edge/lib.sh
export STREAM_ATTEMPTS=4
start_four 2
ask 1 p1 s/poison >"$dir/answer"
dead=0
for n in 1 2 3 4; do eval "kill -0 \$worker_$n 2>/dev/null" || dead=$((dead + 1)); done
echo "workers crashed: $dead, answer $(cat "$dir/answer")"
logged 1 '"why":"crashes workers"' && echo "not sent again"
