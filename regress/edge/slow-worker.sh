# An engine becomes ten times slower but answers all probes and passes events
# on.  Nothing about it is silent, so routers would continue to send to it, and
# callers would wait for their first event until they leave.  Its own report
# shows the slowdown, and it is probed once first events are late.
. edge/lib.sh
start_platform
"$build/tool_calls" learn 4 80 $(router 1) $(router 2) >"$dir/calls" &
calls=$!
sleep 1.5
curl -s -o "$dir/null" "http://$(worker 1)/stand-in/slow"
wait $calls
"$build/tool_calls" slow 4 80 $(router 1) $(router 2) >>"$dir/calls"
sent_to() { cat "$dir"/router.*.log | grep -c "request-sent\",\"request\":\"slow-.*\"chain\":\"w-$1-"; }
there=$(sent_to 1)
other=$(sent_to 4)
[ $other -gt 20 ] && echo "streams go to the sound engine"
[ $((there * 4)) -lt $other ] && echo "few go to the slow one"
verify 0.5
