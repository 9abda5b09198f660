# Guards against a router that refuses all callers for good since a datagram of a peer
# was altered on its way.
. edge/lib.sh
REPORT_MS=300
start_store
put_config 1
start_worker 1 app a
start_worker 2 app a
for n in 1 2 3; do start_router $n a; done
for n in 1 2 3; do wait_for "ready $n"; done
# lookups ROUTER: prints how many of some 60 look-ups a router does not serve.
lookups() {
	"$build/tool_calls" -k r lookups$1$(date +%N) 2 30 $(router $1) >"$dir/calls"
	[ $(grep -c . "$dir/calls") -ge 55 ] || echo "too few calls"
	echo "router $1: $(grep -vc ' 200 whole' "$dir/calls") not served"
}
lookups 1
for kind in bits bytes cut; do
	echo "$kind: $("$build/tool_alter" $((base + 82)) $((base + 81)) 600 7 $kind)"
	sleep 1.5
	lookups 1
done
for n in 2 3; do lookups $n; done
for n in 1 2 3; do ready $n && echo "router $n is ready"; done
