# Starts the router of the deploy file and stand-ins as processes on loopback
# addresses, for the scripts of the second review.  A script sets $record, the file
# that it writes to, and sources this from the root of the repository.
bin=$PWD/target
dir=$(mktemp -d)
pids=""

say() { echo "$*" >>"$record"; }
# give_up WHY: the case could not run.
give_up() { say "could not run: $*"; exit 2; }
now_us() { awk '{ printf "%.0f", $1 * 1e6 }' /proc/uptime; }

# group_of PID: prints its process group.
group_of() { sed 's/.*) //' "/proc/$1/stat" 2>"$dir/null" | cut -d' ' -f3; }
group=$(group_of $$)
kill_all() {
	for p in $pids $(cat "$dir"/pid.* 2>"$dir/null"); do
		[ "$(group_of $p)" = "$group" ] || continue
		kill -CONT "$p" 2>"$dir/null"
		kill -KILL "$p" 2>"$dir/null"
	done
}
# What runs beside a script ends once $dir/over exists; it may start a worker until then.
end() {
	touch "$dir/over"
	kill_all
	wait 2>"$dir/null"
	kill_all
	[ -n "$KEEP" ] && cp -r "$dir" "$KEEP"
	rm -rf "$dir"
}
trap end EXIT
trap 'exit 2' INT TERM

for program in magnolia-edge fake_store store-2 worker-2 call-2 tool_calls; do
	[ -x "$bin/$program" ] || give_up "target/$program is missing"
done

# A range of 100 ports that nobody uses, below those of outgoing connections.
base=$((11000 + ($$ % 200) * 100))
taken() { awk 'NR > 1 { sub(/.*:/, "", $2); print "x" $2 }' /proc/net/tcp /proc/net/udp; }
ranges=0
while :; do
	first=$(printf x%04X $base) last=$(printf x%04X $((base + 99)))
	taken | awk -v a=$first -v b=$last '$1 >= a && $1 <= b { f = 1 } END { exit !f }' || break
	ranges=$((ranges + 1))
	[ $ranges -ge 200 ] && give_up "no free ports"
	base=$((base + 100))
	[ $base -gt 30900 ] && base=11000
done
store=127.0.0.1:$base
worker_at() { echo 127.0.0.1:$((base + 10 + $1)); }
router_at() { echo 127.0.0.1:$((base + 60 + $1)); }

# wait_for COMMAND: repeats it until it succeeds, for 30 s and the time of the command.
wait_for() {
	tries=0
	until eval "$1"; do
		tries=$((tries + 1))
		[ $tries -gt 600 ] && give_up "$1"
		sleep 0.05
	done
}

# start_store: starts the project's stand-in, or the one that $STORE names.
start_store() {
	"$bin/${STORE:-fake_store}" $store >"$dir/store.log" 2>&1 &
	pids="$pids $!"
	wait_for '[ "$("$bin/call-2" $store GET "/api/kv-range?PathPrefix=x" | cut -c1-3)" = 200 ]'
}

# start_worker NUMBER SERVICE ZONE KIND: starts a worker under a new id; its
# process is in $dir/pid.NUMBER, what it does in $dir/worker.NUMBER.log.
start_worker() {
	"$bin/worker-2" $store $(worker_at $1) "w-$1-$(now_us)" "$2" "$3" "$4" \
		>>"$dir/worker.$1.log" 2>"$dir/null" &
	echo $! >"$dir/pid.$1"
}

# start_router NUMBER ZONE, with the bounds of ringwork-rail.
start_router() {
	cat >"$dir/router.$1.json" <<-JSON
	{"instance":"r-$1","data_centre":"$2","address":"127.0.0.1",
	"callers":"127.0.0.1:$((base + 60 + $1))","readiness":"127.0.0.1:$((base + 70 + $1))",
	"peer_port":$((base + 80 + $1)),"metrics_port":$((base + 90 + $1)),
	"store":"$store","deployment":"$store","store_lease_ms_min":1000,"first_start":true,
	"stop_s":8,"config_apply_ms":2000,"drain_ms":2000,"keys_stale_ms":5000,
	"keys_fail_closed":true,"retry_ratio":0.2,"retry_window_s":10,"retry_slack":198,
	"stall_ms":3000,"open_files":1000,"link_mbps":1500,"worker_report_ms":300}
	JSON
	MAGNOLIARAIL_NODE_FILE="$dir/router.$1.json" "$bin/magnolia-edge" >>"$dir/router.$1.log" 2>&1 &
	pids="$pids $!"
	eval "router_$1=$!"
}

# put_config VERSION: publishes a configuration as the operator does: a route of
# resumable streams, and one of bookings and one of lookups at a plain service.
put_config() {
	tenant_list=${TENANTS-'[{"Name":"acme","ApiKeys":["key-1"]}]'}
	cat >"$dir/config.json" <<-JSON
	{"Version":$1,"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
	"Services":[{"Name":"model","HealthPath":"/healthz","MaxConnections":900,"Protocol":"h1","Tls":false,
	"Engine":{"Slots":64,"KvCapacityTokens":100000,"KvTokenBytes":590000,"LinkMbps":400000,"Stride":4,"Models":[{"Name":"m","pace":1.0,"LoadS":1,"WarmS":1}],
	"step_ms":1.02,"per_seq_ms":0.00459,"context_per_k":0.00615,"read_per_s":164000,"pairs_per_m":0.199,"chunk":512,"report_lag_ms":200,
	"loads_at_once":6,"usual":{"prompt":100,"answer":20},"Layers":20,"LayerMb":1750,"ActBytes":29500,"PipeMbps":19000,
	"Kinds":[{"Name":"a100","Mb":72000,"pace":2.4,"ReadX":3.2}]}},
	{"Name":"app","HealthPath":"/healthz","MaxConnections":100,"Protocol":"h1","Tls":false}],
	"Tenants":$tenant_list,
	"Routes":[{"Name":"s","Host":"h.example","PathPrefix":"/s/","Kind":"streaming","StreamResume":true,"SessionAffinity":true,"TimeoutMs":20000,"TargetLatencyMs":500,"GapAimMs":250,"Priority":1,"MaxAttempts":2,"AuthExempt":false,"Service":"model"},
	{"Name":"b","Host":"h.example","PathPrefix":"/b/","Kind":"non_idempotent","TimeoutMs":1500,"TargetLatencyMs":300,"Priority":2,"MaxAttempts":1,"AuthExempt":false,"Service":"app"},
	{"Name":"r","Host":"h.example","PathPrefix":"/r/","Kind":"idempotent","TimeoutMs":1500,"TargetLatencyMs":300,"Priority":2,"MaxAttempts":2,"AuthExempt":false,"Service":"app"}]}
	JSON
	"$bin/call-2" -b "$dir/config.json" $store POST "/stand-in/put?Key=op/config" >"$dir/put"
}

# ask ROUTER METHOD PATH ATTEMPT [OPTIONS]: sends a request and prints its answer as
# call-2 does.
ask() {
	ask_router=$1 ask_method=$2 ask_path=$3 ask_id=$4
	shift 4
	"$bin/call-2" "$@" $(router_at $ask_router) $ask_method "$ask_path" 'Host: h.example' \
		"Attempt-Id: $ask_id" 'Authorization: Token key-1' 'Model: m' 'Token-Count: 100,80' \
		'Prompt-Prefix: 5c1e07a2:40,91bd3f06:60' 'Deadline-Ms: 20000'
}
serves() { [ "$(ask $1 GET $2 "probe-$1-$(now_us)" | cut -d' ' -f1,2)" = "200 whole" ]; }
is_ready() { [ "$("$bin/call-2" 127.0.0.1:$((base + 70 + $1)) GET /api/readyz | cut -c1-3)" = 200 ]; }

# start_site ENGINES PLAIN ROUTERS: workers with numbers from 1, all in one zone.
start_site() {
	start_store
	put_config 1
	routers=""
	for n in $(seq $1); do start_worker $n model a a100; done
	for n in $(seq $(($1 + 1)) $(($1 + $2))); do start_worker $n app a -; done
	for n in $(seq $3); do
		start_router $n a
		routers="$routers $(router_at $n)"
	done
	for n in $(seq $3); do wait_for "is_ready $n"; done
	for n in $(seq $1); do wait_for "grep -q '^ORDER' $dir/worker.$n.log"; done
	[ $1 = 0 ] && return
	for n in $(seq $3); do wait_for "serves $n /s/probe"; done
}
