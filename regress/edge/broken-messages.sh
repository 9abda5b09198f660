# Guards against answers to a router's own calls that are no HTTP/1.1 and are used, or of
# which one makes a worker suspect: to orders, reports and health checks, and of the store.
. edge/lib.sh
printf 'HTTP/1.1 202 Accepted\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n' >"$dir/raw"
start_store
put_config 1
for n in 1 2; do start_worker $n model a big; done
for n in 3 4; do start_worker $n app a; done
for n in 1 2; do wait_for "curl -s -o $dir/null http://$(worker $n)/healthz"; done
set_raw order/9 1 2
start_router 1 a
wait_for "ready 1"
wait_for "grep -q '^RAW.*order' $dir/worker.[12].log"
wait_for "logged 1 '\"name\":\"order-unsure\".*\"status\":0'" && echo "orders: not known to be done"
set_raw order/0 1 2
wait_for "served_by $(router 1)"

printf 'HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 10\r\n\r\n{"born":1}' >"$dir/raw"
break_next() { for n in "$@"; do curl -s -o "$dir/null" "http://$(worker $n)/stand-in/break-next"; done; }
set_raw report/1 1 2
break_next 1 2
ask 1 broken-once s/x >"$dir/null"
wait_for "grep -q '^RAW.*report' $dir/worker.[12].log"
wait_for "served_by $(router 1)"
logged 1 'worker-suspected.*no answer to a probe' || echo "reports: one broken answer is no silence"
set_raw report/999 1 2
break_next 1 2
ask 1 broken-1 s/x >"$dir/null"
wait_for "grep -q '^RAW.*report' $dir/worker.[12].log"
wait_for "logged 1 'worker-suspected.*no answer to a probe'" && echo "reports: no answer"
set_raw report/0 1 2
wait_for "served_by $(router 1)"

printf 'HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n' >"$dir/raw"
set_raw health/999 3 4
break_next 3 4
ask 1 broken-2 r/x >"$dir/null"
wait_for "grep -q '^RAW.*healthz' $dir/worker.[34].log"
plain_suspected() {
	grep '"name":"worker-suspected".*no answer to a probe' "$dir/router.1.log" | grep -q ':'$((base + 13))'"\|:'$((base + 14))'"'
}
wait_for plain_suspected && echo "health checks: no answer"
set_raw health/0 3 4
wait_for "served_by $(router 1)"

# key KEY: the status of a request with this key.
key() {
	curl -s -o "$dir/null" -w '%{http_code}' -H 'Host: h.example' -H "Attempt-Id: k-$(date +%N)" \
		-H "Authorization: Token $1" -H 'Token-Count: 100,20' "http://$(router 1)/s/x"
}
fault odd
put_config 2 '"key-2"'
sleep 1.5
echo "store: $(key key-1), new key $(key key-2)"
fault none
wait_for "[ \$(key key-2) = 200 ]" && echo "store: taken from a whole answer"
kill -0 $router_1 && echo "the router goes on"
