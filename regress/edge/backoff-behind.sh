# An engine behind the first one of its chains requests a backoff in refusals that
# the first one passes on.  It must get nothing through other workers, either.
. edge/lib.sh
start_halves
"$build/tool_calls" behind 6 30 $(router 1) >"$dir/calls" &
calls=$!
sleep 1
for behind in 1 2 3 4; do grep -q '^ORDER.* 10-20' "$dir/worker.$behind.log" && break; done
request_backoff $behind 3
wait_for "grep -q ^BACKOFF $dir/worker.$behind.log"
sleep 2.5
request_backoff $behind
wait $calls
backoffs
verify 0.8
