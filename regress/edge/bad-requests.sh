# Requests that smuggle another one, or that cannot be parsed, are answered with
# an error and reach no worker.
. edge/lib.sh
start_platform
send() { (printf "$1"; sleep 0.4) | timeout 3 curl -sN "telnet://$(router 1)" | head -n 1 | tr -d '\r'; }
before=$(cat "$dir"/worker.*.log | grep -c '^RUN')
send 'POST /b/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
send 'POST /b/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde'
send 'GARBAGE\r\n\r\n'
send 'POST /b/x HTTP/1.1\r\nHost: h.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n'
send 'GET /nowhere/ HTTP/1.1\r\nHost: h.example\r\n\r\n'
send 'POST /b/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 99999999\r\n\r\n'
send "GET /r/x HTTP/1.1\r\nHost: h.example\r\nX: $(head -c 20000 /dev/zero | tr '\0' x)\r\n\r\n"
send 'GET /r/x HTTP/1.1\r\nHost: h.example\r\nDeadline-Ms: 9300000000000000\r\n\r\n'
[ "$before" = "$(cat "$dir"/worker.*.log | grep -c '^RUN')" ] && echo "no worker ran anything"
