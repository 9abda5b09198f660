# Guards against callers who begin long bodies, or send many at once, until the router
# is out of memory, and against such callers keeping out others with long bodies.
. edge/lib.sh
BODY_BYTES=4194304
start_twins 1
head -c 4000000 /dev/zero >"$dir/body"
bash -c '
	trap "" PIPE
	for n in $(seq 100); do
		exec {c}<>/dev/tcp/'$(router 1 | tr : /)'
		printf "POST /r/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 4194304\r\n\r\n" >&$c
		cat '"$dir"'/body >&$c
	done
	: >'"$dir"'/held
	exec sleep 30' 2>"$dir/null" &
holder=$!
pids="$pids $holder"
wait_for "[ -e $dir/held ]"
served_by $(router 1) && echo "short ones are served"
kb=$(awk '/VmHWM/ { print $2 }' /proc/$router_1/status)
[ "$kb" -lt 200000 ] && echo "memory in bounds" || echo "memory $kb KB"
# Half a body is late 3 s after its last byte.
sleep 4
curl -s -m 8 -o "$dir/null" -w '%{http_code}\n' -H 'Host: h.example' -H 'Attempt-Id: long' \
	-H 'Authorization: Token key-1' -H 'Token-Count: 100,20' -H 'Expect:' \
	--data-binary "@$dir/body" "http://$(router 1)/r/x"
echo "logged: $(grep -c '"body-refused"' "$dir/router.1.log")"
kill -0 $router_1 && echo "the router goes on"
