# Guards against a send that never left its router and counts as one: with no retries
# allowed at all, lookups that meet workers which refuse connections must be sent to
# others as if it were the first time.
. edge/lib.sh
RETRY_RATIO=0
RETRY_SLACK=0
export FAKE_EVENT_MS=150
start_centre 1 1 1
"$build/tool_calls" -d -k r unsent 3 60 $(router 1) >"$dir/calls" &
calls=$!
# New entries of workers where nothing listens.
for n in $(seq 8); do
	curl -s -X POST "http://$store/stand-in/put?Key=servers/w-none-$n&Ttl=900" --data-binary \
		'{"Service":"app","Address":"127.0.0.1:'$((base + 40 + n))'","Zone":"a","Version":"v1","Slots":64,"State":"ready","ColdRemainingMs":0,"born":'$n',"Sequence":1}'
	sleep 0.25
done >"$dir/null"
wait $calls
logged 1 '"why":"not sent"' && echo "some met a worker that refused the connection"
awk '$4 == 200 { served++ } END { print "served: " (served == NR ? "all" : served " of " NR) }' "$dir/calls"
