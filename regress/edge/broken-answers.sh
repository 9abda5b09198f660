# Guards against answers that are no HTTP/1.1 and are passed on, or answered with a promise
# that nothing ran: to bookings, lookups and streams, on kept and on new connections.
. edge/lib.sh
start_centre 2 2 1
all="1 2 3 4"
get() {
	curl -s -m 8 -o "$dir/body" -w '%{http_code}' -X $1 -H 'Host: h.example' -H "Attempt-Id: $2" \
		-H 'Authorization: Token key-1' -H 'Token-Count: 100,20' "http://$(router 1)/$3"
}
# serves METHOD PATH: whether such a request is served.
serves() { [ "$(get $1 probe$(date +%N) $2)" = 200 ]; }
# try NAME BYTES: how the three kinds of callers are answered if workers send this.
try() {
	printf '%b' "$2" >"$dir/raw"
	for call in "POST b/x" "GET r/x" "GET s/x"; do
		wait_for "serves $call"
		id="$connections-$1-${call% *}-${call#* }"
		set_raw request/9 $all
		status=$(get ${call% *} "$id" ${call#* })
		set_raw request/0 $all
		cases=$((cases + 1))
		grep -q "^RAW .* $id\$" "$dir"/worker.*.log || echo "$id: not sent"
		case $status in
		502 | 504) ;;
		*) echo "$id: $status" ;;
		esac
	done
}
cat >"$dir/answers" <<'EOT'
status-000 HTTP/1.1 000 OK\r\n%FIELDS%%LENGTH%\r\n%BODY%
status-600 HTTP/1.1 600 OK\r\n%FIELDS%%LENGTH%\r\n%BODY%
status-digits HTTP/1.1 0200 OK\r\n%FIELDS%%LENGTH%\r\n%BODY%
version HTTP/2.0 200 OK\r\n%FIELDS%%LENGTH%\r\n%BODY%
reason HTTP/1.1 200 O\0001K\r\n%FIELDS%%LENGTH%\r\n%BODY%
no-http {"status":200}\r\n\r\n
name-blank HTTP/1.1 200 OK\r\n%FIELDS%X Odd: 1\r\n%LENGTH%\r\n%BODY%
name-tab HTTP/1.1 200 OK\r\n%FIELDS%X\tOdd: 1\r\n%LENGTH%\r\n%BODY%
name-control HTTP/1.1 200 OK\r\n%FIELDS%X\0001Odd: 1\r\n%LENGTH%\r\n%BODY%
name-before-colon HTTP/1.1 200 OK\r\n%FIELDS%Content-Length : 1\r\n%LENGTH%\r\n%BODY%
first-blank HTTP/1.1 200 OK\r\n X: 1\r\n%FIELDS%%LENGTH%\r\n%BODY%
folded HTTP/1.1 200 OK\r\n%FIELDS%X: 1\r\n 2\r\n%LENGTH%\r\n%BODY%
value-nul HTTP/1.1 200 OK\r\n%FIELDS%X: \0000b\r\n%LENGTH%\r\n%BODY%
value-control HTTP/1.1 200 OK\r\n%FIELDS%X: \0001\r\n%LENGTH%\r\n%BODY%
lengths HTTP/1.1 200 OK\r\n%FIELDS%Content-Length: 1\r\n%LENGTH%\r\n%BODY%
length-and-chunks HTTP/1.1 200 OK\r\n%FIELDS%%LENGTH%Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n
chunk-size HTTP/1.1 200 OK\r\n%FIELDS%Transfer-Encoding: chunked\r\n\r\n4 x\r\ndone\r\n0\r\n\r\n
chunk-end HTTP/1.1 200 OK\r\n%FIELDS%Transfer-Encoding: chunked\r\n\r\n4\r\ndoneXY0\r\n\r\n
interim HTTP/1.1 100 Continue\r\nX Odd: 1\r\n\r\nHTTP/1.1 200 OK\r\n%FIELDS%%LENGTH%\r\n%BODY%
upgrade HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n%FIELDS%%LENGTH%\r\n%BODY%
promise HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n
other-worker HTTP/1.1 421 Misdirected Request\r\nX\0001Odd: 1\r\nContent-Length: 0\r\n\r\n
EOT
# try_all CONNECTIONS COUNT: so many of these answers.
try_all() {
	connections=$1 cases=0
	head -n $2 "$dir/answers" >"$dir/tried"
	while read -r name bytes; do try "$name" "$bytes"; done <"$dir/tried"
	echo "$connections: $cases tried"
}
try_all kept 99
for n in $all; do curl -s -o "$dir/null" "http://$(worker $n)/stand-in/close-each/1"; done
try_all new 8
kill -0 $router_1 && echo "the router goes on"
