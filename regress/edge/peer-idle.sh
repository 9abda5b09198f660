# Callers may be idle for 0.3 s only.  Routers keep connections to each other for longer,
# and a request that is forwarded on one as its other end closes would be lost.
. edge/lib.sh
IDLE_MS=300
start_centre 1 1 1
ask_again() { printf 'GET /none HTTP/1.1\r\nHost: h.example\r\n\r\n'; }
answers() {
	{ ask_again; sleep 4.2; ask_again; sleep 0.3; } |
		curl -s -m 8 "telnet://127.0.0.1:$1" | grep -c '^HTTP/1.1 404'
}
echo "answers on a caller's connection: $(answers $((base + 61)))"
echo "answers on a peer's connection: $(answers $((base + 81)))"
