# Guards against a request that stays in its queue after it was forwarded to a peer:
# it is sent again while it is there.  A router whose requests wait for engines is cut
# off from all workers.
. edge/lib.sh
export PRIORITIES=1 FAKE_SLOTS=8 FAKE_EVENT_MS=50
start_cut_off 3
"$build/tool_calls" -k s -t key-greedy greedy 6 300 $routers >"$dir/calls" &
calls=$!
for mode in hang pass refuse pass hang; do
	sleep 1
	cut_off $mode 1
done
wait $calls
kill -0 $router_1 && echo "the router goes on"
# A peer logs the end of a request before the router forwards it to another peer.
{
	cat "$dir"/router.[23].log | grep '"name":"request-ended"'
	grep '"name":"request-forwarded"' "$dir/router.1.log"
} | sort -s -t: -k2,2 | awk -F'"' '
	{ for (i = 1; i < NF; i++) if ($i == "request") id = $(i + 2) }
	/request-ended/ { ended[id]++; next }
	{ forwards++; if (sent[id]++ > ended[id]) twice++ }
	END {
		print forwards " forwards" >"/dev/stderr"
		print (forwards ? "forwarded" : "never forwarded")
		print "forwarded while at a peer: " twice + 0
	}'
verify 0
