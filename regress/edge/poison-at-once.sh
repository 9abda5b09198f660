# A request that crashes workers is sent to three routers at once, among streams:
# three workers are lost within a second.  That must not pass for a common cause
# other than the request.
. edge/lib.sh
export FAKE_EVENT_MS=80
start_four 3
"$build/tool_calls" -d run 4 60 $routers >"$dir/calls" &
calls=$!
sleep 1.5
for n in 1 2 3; do ask $n p$n s/poison >"$dir/answer.$n" & done
sleep 1.5
for n in 1 2 3; do logged $n request-quarantined && echo "quarantined by router $n"; done
wait $calls
