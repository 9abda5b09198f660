#!/bin/sh
# usage: bench/bench_return.sh BUILD_DIR ROUTERS...
# Restores the store from a backup without the routers and the placer, and
# measures for each number of routers the time from the restore until all
# routers are listed and until a placer exists, the calls to the store in the
# 0.6 s of the outage and the 5 s after it, and the calls of clients that
# failed.
build=$(cd "$1" && pwd)
shift
cd "$(dirname "$0")/../regress" || exit 1

# bench_router NUMBER DATA_CENTRE: starts a router.  Each has its own loopback
# address, so all can use the same ports.
bench_router() {
	cat >"$dir/router.$1.json" <<-JSON
	{"instance":"r-$1","data_centre":"$2","address":"127.0.2.$1",
	"callers":"127.0.2.$1:8000","readiness":"127.0.2.$1:8001","peer_port":8002,
	"metrics_port":8003,"store":"$store","store_lease_ms_min":1000,
	"first_start":true,"stop_s":8,"config_apply_ms":2000,"drain_ms":2000,
	"keys_stale_ms":5000,"keys_fail_closed":true,"retry_ratio":0.2,
	"retry_window_s":10,"retry_slack":200,"stall_ms":3000,"open_files":400,"link_mbps":1000}
	JSON
	MAGNOLIARAIL_NODE_FILE="$dir/router.$1.json" "$build/magnolia-edge" \
		>"$dir/router.$1.log" 2>&1 &
	pids="$pids $!"
}
store_calls() {
	n=0
	sum=0
	while [ $n -lt "$routers" ]; do
		n=$((n + 1))
		c=$(curl -s "http://127.0.2.$n:8003/metrics" | sed -n 's/^magnolia_store_calls_total //p')
		sum=$((sum + c))
	done
	echo $sum
}
# since COMMAND: prints the ms from the restore until the command succeeds, or
# the time elapsed after 15 s without success.
since() {
	until eval "$1"; do
		[ $(($(date +%s%3N) - returned)) -gt 15000 ] && break
		sleep 0.02
	done
	echo $(($(date +%s%3N) - returned))
}

for routers in "$@"; do
	(
		set -- "$build"
		SLOT=${SLOT:-94}
		. edge/lib.sh
		start_store
		put_config 1
		for n in 1 2; do start_worker $n model a big; done
		for n in 3 4; do start_worker $n app a; done
		wait_for "[ \$(in_store servers/) -eq 4 ]"
		store_copies
		n=0
		while [ $n -lt "$routers" ]; do
			n=$((n + 1))
			bench_router $n a
		done
		wait_for "[ \$(in_store mag/instance) -eq $routers ]"
		wait_for "[ \$(cat $dir/worker.*.log | grep -c ^ORDER) -ge 2 ]"
		sleep 3
		"$build/tool_calls" return 14 60 127.0.2.1:8000 127.0.2.2:8000 127.0.2.3:8000 >"$dir/calls" &
		calls=$!
		sleep 2
		before=$(store_calls)
		curl -s -o "$dir/null" "http://$store/stand-in/restore?AwayMs=600&LateMs=800&Bump=400"
		wait_for "grep -q RESTORED $dir/store.log"
		returned=$(date +%s%3N)
		listed=$(since "[ \$(in_store mag/instance) -ge $routers ]")
		placer=$(since "[ \$(in_store mag/placer) -eq 1 ]")
		while [ $(($(date +%s%3N) - returned)) -lt 5000 ]; do sleep 0.02; done
		after=$(store_calls)
		wait $calls
		echo "$routers routers: all listed after $listed ms, a placer after $placer ms," \
			"$((after - before)) calls to the store in 5.6 s," \
			"$(grep -cv ' 200 whole' "$dir/calls") of $(wc -l <"$dir/calls") calls failed"
	)
done
