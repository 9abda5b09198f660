# Guards against a router that blames its workers, fills its log or stays behind when
# it gets no descriptor at all for a while, and serves again only by chance afterwards.
. edge/lib.sh
PLAIN_TARGET_MS=2000
start_twins 1
"$build/tool_calls" before 2 20 $(router 1) >"$dir/calls"
# Idle connections to workers are closed by now.
sleep 5
prlimit --nofile=8: --pid $router_1
"$build/tool_calls" without 2 20 $(router 1) >"$dir/calls.without" &
calls=$!
sleep 1.5
prlimit --nofile=1000: --pid $router_1
wait $calls
served_by $(router 1) && echo "served again"
served_well "$dir/calls.without" && echo "none was lost"
kill -0 $router_1 && echo "it runs"
[ $(wc -c <"$dir/router.1.log") -lt 1000000 ] && echo "the log is short"
echo "accept-failed: $(grep -c '"accept-failed"' "$dir/router.1.log")"
logged 1 '"worker-suspected"' || echo "no worker suspected"
logged 1 '"path-' || echo "no path lost"
curl -s "http://127.0.0.1:$((base + 91))/metrics" | awk '
	/^magnolia_accept_failures_total/ { print "accept failures counted: " ($2 > 0 ? "yes" : "no") }'

# Callers are there already, and what is missing is the connection to a worker.
sleep 5
bash -c '
	exec {c}<>/dev/tcp/'$(router 1 | tr : /)'
	sleep 0.2
	prlimit --nofile=8: --pid '$router_1'
	printf "GET /r/x HTTP/1.1\r\nHost: h.example\r\nAuthorization: Token key-1\r\nAttempt-Id: one\r\nToken-Count: 100,20\r\n\r\n" >&$c
	sleep 0.3
	prlimit --nofile=1000: --pid '$router_1'
	read -t 8 line <&$c
	echo "on a connection it has: ${line%?}"'
echo "descriptor-missing: $(grep -c '"descriptor-missing"' "$dir/router.1.log")"
logged 1 '"worker-suspected"' || echo "no worker suspected"
verify 0.9
