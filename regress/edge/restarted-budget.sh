# Guards against a router that repeats requests beyond its retry budget after a restart:
# its settings still say that the system starts for the first time.
. edge/lib.sh
RETRY_RATIO=0.01
RETRY_SLACK=125
printf 'HTTP/1.1 600 no\r\n\r\n' >"$dir/raw"
# repeats NAME: 50 lookups whose first answers are malformed; how many are sent again.
repeats() {
	set_raw request/1000 3 4
	"$build/tool_calls" -k r "$1" 1 50 $(router 1) >"$dir/calls.$1"
	set_raw request/0 3 4
	arrivals=$(cat "$dir"/worker.*.log | grep -c "^RAW .*$1-")
	echo "$1: $arrivals arrivals" >&2
	[ $arrivals -gt 80 ] && echo "$1: repeats" || echo "$1: next to no repeats"
}
start_twins 1
repeats first
kill -KILL $router_1
wait $router_1 2>"$dir/null"
run_router 1
wait_for "ready 1"
wait_for 'served_by $(router 1)'
repeats second
