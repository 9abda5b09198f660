# Guards against callers who send many short bodies, or heads of many empty fields, and
# never end them, until the router has taken more memory than its machine has.
. edge/lib.sh
BODY_BYTES=65536 OPEN_FILES=4000
start_twins 1
# hold NAME COUNT HEAD BYTES: opens connections that each send HEAD and so many bytes.
hold() {
	bash -c '
		ulimit -n 2000
		trap "" PIPE
		for n in $(seq '$2'); do
			exec {c}<>/dev/tcp/'$(router 1 | tr : /)' || break
			{ printf "'"$3"'"; head -c '$4' "'"$dir"'/zeros"; } >&$c
		done
		: >'"$dir/held.$1"'
		exec sleep 30' 2>"$dir/null" &
	pids="$pids $!"
	waits="${waits:-} $1"
}
head -c 70000 /dev/zero >"$dir/zeros"
for n in 1 2; do
	hold bodies-$n 900 'POST /r/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 65536\r\n\r\n' 65535
done
for name in $waits; do wait_for "[ -e $dir/held.$name ]"; done
wait_for "logged 1 body-refused" && echo "the bodies of all have a bound"
kb=$(awk '/VmHWM/ { print $2 }' /proc/$router_1/status)
[ "$kb" -lt 200000 ] && echo "memory in bounds" || echo "memory $kb KB"
# A body is late 3 s after its last byte, and gives way.
sleep 3
served_by $(router 1) && echo "others are served"
# fields COUNT: prints the answer to a request with so many empty fields more.
fields() {
	{
		printf 'GET /r/x HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: fields-%d\r\n' $1
		printf 'Authorization: Token key-1\r\nToken-Count: 100,20\r\n'
		yes 'a:' | head -n $1 | sed 's/$/\r/'
		printf '\r\n'
	} >"$dir/request"
	bash -c 'exec 3<>/dev/tcp/'$(router 1 | tr : /)'; cat "$0" >&3; head -n 1 <&3 | cut -d" " -f2' "$dir/request"
}
echo "500 empty fields: $(fields 500)"
echo "3000 empty fields: $(fields 3000)"
kill -0 $router_1 && echo "the router goes on"
