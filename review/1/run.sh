#!/bin/sh
# Another writer adds an entry under servers/ with fields missing and of another
# type.  It names no worker to use.  Routers must go on serving.
here=$(cd "$(dirname "$0")" && pwd)
# What was sent, answered and run.
record=$here/record.txt
: >"$record"
. "$here/../lib.sh"

start_platform
note "two routers serve; TROUBLE=$TROUBLE"

# A process that ends is started again after a short delay, as the platform does.
ends=0
watch_routers() {
	for n in 1 2; do
		eval "pid=\$router_$n"
		kill -0 "$pid" 2>/dev/null && continue
		wait "$pid"
		note "$(now_us) router $n ended by itself, exit status $?"
		ends=$((ends + 1))
		eval "ends_$n=\$((\${ends_$n:-0} + 1))"
		sleep 0.5
		FIRST_START=false start_router $n $([ $n = 1 ] && echo a || echo b)
	done
}

if [ "$TROUBLE" = 1 ]; then
	note "$(now_us) another writer puts servers/x-1"
	# No Version and ColdRemainingMs, Sequence is a text; the layers are those
	# of some other model.
	echo '{"Service":"model","Address":"127.0.0.1:9","Zone":"a","Slots":4,"State":"ready","Kind":"big","Sequence":"seven","Layers":{"From":0,"Target":400}}' |
		put servers/x-1
fi

"$build/tool_calls" calls 25 20 "$(router 1)" "$(router 2)" >"$dir/calls" 2>&1 &
calls=$!
started=$(now_us)
while [ $(($(now_us) - started)) -lt 26000000 ]; do
	watch_routers
	sleep 0.1
done
wait $calls
sent=$(grep -c . "$dir/calls")
served=$(grep -c ' 200 whole' "$dir/calls")
note "calls sent: $sent, served: $served"
note "ends of router 1: ${ends_1:-0}, of router 2: ${ends_2:-0}"
record_all
if [ "${ends_1:-0}" -ge 3 ] && [ "${ends_2:-0}" -ge 3 ]; then
	verdict yes "two machines of two ended by themselves three times or more, with no impairment there"
fi
[ $ends -gt 0 ] && verdict yes "routers ended by themselves $ends times"
verdict no "no router ended by itself"
