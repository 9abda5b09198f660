# Guards against callers who send many short bodies and never end them, until the router
# has taken more memory than its machine has.
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
kill -0 $router_1 && echo "the router goes on"
