# A worker breaks off a request, answers the probe that this brings, and crashes
# under another request a moment later, before it may be probed again.  That
# request must become a suspect all the same, and the first one must not.
. edge/lib.sh
export FAKE_CRASH_MS=10
start_four 1
ask 1 warm r/x >"$dir/null"
curl -s -o "$dir/null" "http://$(worker 5)/stand-in/break-next"
ask 1 broken r/broken >"$dir/answer" &
sleep 0.02
ask 1 p1 r/poison >"$dir/answer.p"
wait_for "logged 1 worker-died" && echo "known to be dead"
fingerprint=$(grep -h '"request":"p1"' "$dir/router.1.log" | grep -o '"fingerprint":"[0-9a-f]*"' | head -n 1)
grep '"request-suspected"' "$dir/router.1.log" | grep -c "$fingerprint"
grep -c '"request-suspected"' "$dir/router.1.log"
