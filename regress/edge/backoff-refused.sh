# All plain workers request a backoff that is longer than a request may wait.  A
# router that lets requests wait for its end keeps their callers from knowing.
. edge/lib.sh
start_twins 1
"$build/tool_calls" refused 6 40 $routers >"$dir/calls" &
calls=$!
sleep 1
request_backoff 3 3
request_backoff 4 3
for n in 3 4; do wait_for "grep -q ^BACKOFF $dir/worker.$n.log"; done
sleep 2
request_backoff 3
request_backoff 4
wait $calls
backoffs
logged 1 '"status":503,"why":"workers back off",.*"sends":0' && echo "refused without a send"
logged 1 '"why":"all workers busy"' && echo "refused after a wait"
verify 0.3
