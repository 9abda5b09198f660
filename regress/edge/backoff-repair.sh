# An engine that begins chains requests a backoff, and the engine behind it hangs.
# A router that probes the first one and orders it to repair its chains sends to
# it during the backoff.  The route allows only one run, so that the streams
# cannot restart instead.
. edge/lib.sh
STREAM_ATTEMPTS=1
export FAKE_EVENT_MS=100
start_halves
"$build/tool_calls" repair 9 30 $(router 1) >"$dir/calls" &
calls=$!
sleep 1
for first in 1 2 3 4; do grep -q '^ORDER.* 0-10' "$dir/worker.$first.log" && break; done
for behind in 1 2 3 4; do grep -q '^ORDER.* 10-20' "$dir/worker.$behind.log" && break; done
request_backoff $first 3
wait_for "grep -q ^BACKOFF $dir/worker.$first.log"
sleep 0.8
eval "kill -STOP \$worker_$behind"
sleep 4
request_backoff $first
wait $calls
backoffs
verify 0.8
