# Guards against a request that waits for a worker at the first peer that it is forwarded
# to, until its time is over, although another peer was not asked.
. edge/lib.sh
start_centre 1 1 3
PLAIN_TIMEOUT_MS=3000
PLAIN_TARGET_MS=20000
LOOKUPS_TO='"Service":"none"'
MORE_SERVICES=',{"Name":"none","HealthPath":"/healthz","MaxConnections":900}'
put_config 2
for r in 1 2 3; do wait_for "logged $r '\"event\":10401,.*\"version\":2[,}]'"; done
"$build/tool_calls" -d -k r wait 1 10 $(router 1) >"$dir/calls"
cat "$dir"/router.[123].log | awk '
	/"name":"request-forwarded","request":"wait.*"forward":1/ { asked++ }
	/"name":"request-forwarded","request":"wait.*"forward":2.*"wait_ms":[1-9]/ { last++ }
	/"name":"request-ended","request":"wait.*"why":"no worker"/ { at_once++ }
	END {
		print "refused at once by the first peer: " (asked && at_once == asked ? "all" : at_once + 0 " of " asked)
		print "allowed to wait at the second one: " (asked && last == asked ? "all" : last + 0 " of " asked)
	}'
# Both routers reach the deadline together.
awk '$4 == 503 || $4 == 504 { ended++ } END { print "ended without a run: " (ended == NR ? "all" : ended " of " NR) }' "$dir/calls"
