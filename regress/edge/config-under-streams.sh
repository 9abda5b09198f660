# Configurations come in quick succession while requests run.  A request goes on under
# the configuration that it came under, and its connection stays open.
. edge/lib.sh
export FAKE_EVENT_MS=70
OTHER='{"Name":"other","HealthPath":"/healthz","MaxConnections":900}'
MORE_SERVICES=,$OTHER
start_store
put_config 1
for n in 1 2; do start_worker $n model a big; done
FAKE_EVENT_MS=700
for n in 3 4; do start_worker $n app a; done
for n in 5 6; do start_worker $n other a; done
for n in 1 2; do start_router $n a; done
for n in 1 2; do wait_for "ready $n"; done
wait_for "[ \$(cat $dir/worker.*.log | grep -c ^ORDER) -ge 2 ]"
wait_for "served_by $(router 1) $(router 2)"
in_force() { logged $1 "\"version\":$2,\"before\""; }
both_in_force() { wait_for "in_force 1 $1 && in_force 2 $1"; }
cut() {
	awk '$1 == "CALL" && ($5 != "whole" || $4 / 100 == 5 || $4 == 408) { cut++ }
		END { print "cut: " cut + 0 }' "$1"
}

# Callers keep their connections.  All of these configurations allow their calls.
"$build/tool_calls" -o open 8 24 $(router 1) $(router 2) >"$dir/calls.open" &
calls=$!
version=1
next() { version=$((version + 1)); put_config $version "$1"; sleep 0.08; }
for round in $(seq 8); do
	IDLE_MS=1000 next
	TIMEOUT_MS=4000 PLAIN_TIMEOUT_MS=2000 next
	LOOKUPS_TO='"TrafficSplit":[{"Service":"app","Weight":1},{"Service":"other","Weight":1}]' next
	LOOKUPS_TO='"Service":"other"' next
	next '"key-1","key-2"'
	PRIORITIES=1 next
	TARGET_MS=900 next '"key-2","key-1"'
	next
done
wait $calls
cut "$dir/calls.open"
echo "connections opened by 24 callers: $(sed -n 's/^CONNECTIONS //p' "$dir/calls.open")"

# These configurations allow nothing more of what runs, and come after the last call.
long_calls() {
	"$build/tool_calls" long-$1 0.6 40 $(router 1) $(router 2) >"$dir/calls.$1" &
	calls=$!
	sleep 0.7
}
end_long_calls() {
	both_in_force $version
	wait $calls
	cut "$dir/calls.$1"
	next
	both_in_force $version
}
long_calls limits
IDLE_MS=50 TIMEOUT_MS=100 PLAIN_TIMEOUT_MS=100 next
end_long_calls limits
long_calls key
next '"key-2"'
end_long_calls key
long_calls route
ROUTES= next
end_long_calls route
long_calls service
ROUTES= SERVICES=$OTHER next
end_long_calls service
verify 0.97
