# Starts stand-ins and routers as processes on loopback addresses, for the
# scripts review/N/run.sh.  A script sets $here to its folder and $record to its record
# before it reads this file, and ends with "verdict" or "give_up".
cd "$here/../.." || exit 2
build=target
TROUBLE=${TROUBLE:-1}
dir=$(mktemp -d) || exit 2
pids=""
: >"$record"

end() {
	for p in $pids; do
		kill -CONT "$p" 2>/dev/null
		kill -KILL "$p" 2>/dev/null
	done
	wait 2>/dev/null
	[ -n "$KEEP" ] && cp -r "$dir" "$KEEP"
	rm -rf "$dir"
}
trap end EXIT
trap 'exit 2' INT TERM

note() { echo "$*" | tee -a "$record"; }
now_us() { awk '{ printf "%.0f", $1 * 1e6 }' /proc/uptime; }
# sleep_until US: returns at this time since boot, or at once if it is over.
sleep_until() { sleep "$(awk -v t="$1" -v now="$(now_us)" 'BEGIN { s = (t - now) / 1e6; print (s > 0 ? s : 0) }')"; }
# record_all: what each worker received, and what each call got.
record_all() {
	grep -h '^CALL' "$dir"/calls* >>"$record"
	grep -h '^GOT' "$dir"/worker.*.log >>"$record"
}
give_up() {
	note "could not run: $*"
	exit 2
}
# verdict BROKEN TEXT: ends with 1 if the rule was broken, with 0 if it held.
verdict() {
	if [ "$1" = yes ]; then
		note "RULE BROKEN: $2"
		exit 1
	fi
	note "rule held: $2"
	exit 0
}

for p in magnolia-edge fake_store fake_worker tool_calls tool_proxy review_http; do
	[ -x "$build/$p" ] || give_up "no $build/$p"
done

# A range of 100 ports, below those of outgoing connections, in which nothing
# listens.
used_ports=" $(cat /proc/net/tcp /proc/net/udp | awk 'NR > 1 { sub(/.*:/, "", $2); print $2 }' |
	while read -r h; do printf '%d ' "0x$h" 2>/dev/null; done)"
base=$((12000 + $$ % 190 * 100))
tries=0
while :; do
	taken=no
	for p in $used_ports; do
		[ "$p" -ge $base ] && [ "$p" -lt $((base + 100)) ] && taken=yes
	done
	[ $taken = no ] && break
	tries=$((tries + 1))
	[ $tries -gt 190 ] && give_up "no free ports"
	base=$((base + 100))
	[ $base -ge 31000 ] && base=12000
done
store=127.0.0.1:$base

http() { "$build/review_http" "$@"; }
wait_for() {
	i=0
	until eval "$1"; do
		i=$((i + 1))
		[ $i -gt 300 ] && give_up "waited in vain: $1"
		sleep 0.05
	done
}

start_store() {
	"$build/fake_store" $store >"$dir/store.log" 2>&1 &
	pids="$pids $!"
	wait_for "[ \$(http -m 1 GET $store '/api/kv-range?PathPrefix=x') = 200 ]"
}
# put KEY: writes standard input into the store, as the operator or a worker does.
put() { http POST $store "/stand-in/put?Key=$1" >/dev/null; }

# start_worker NUMBER SERVICE ZONE [KIND]; $WORKER_STORE is its way to the store.
start_worker() {
	"$build/fake_worker" ${WORKER_STORE:-$store} "$(worker $1)" "w-$1" \
		"$2" "$3" $4 >>"$dir/worker.$1.log" 2>&1 &
	eval "worker_$1=$!"
	pids="$pids $!"
}
# start_router NUMBER ZONE; $ROUTER_STORE is its way to the store.
start_router() {
	cat >"$dir/router.$1.json" <<-JSON
	{"instance":"r-$1","data_centre":"$2","address":"127.0.0.1",
	"callers":"127.0.0.1:$((base + 60 + $1))",
	"readiness":"127.0.0.1:$((base + 70 + $1))",
	"peer_port":$((base + 80 + $1)),"metrics_port":$((base + 90 + $1)),
	"store":"${ROUTER_STORE:-$store}","store_lease_ms_min":1000,"first_start":${FIRST_START:-true},
	"stop_s":8,"config_apply_ms":2000,"drain_ms":2000,"keys_stale_ms":5000,
	"keys_fail_closed":true,"retry_ratio":0.2,"retry_window_s":10,
	"retry_slack":200,"stall_ms":3000,"open_files":6300,"link_mbps":1500}
	JSON
	MAGNOLIARAIL_NODE_FILE="$dir/router.$1.json" "$build/magnolia-edge" \
		>>"$dir/router.$1.log" 2>&1 &
	eval "router_$1=$!"
	pids="$pids $!"
}
router() { echo "127.0.0.1:$((base + 60 + $1))"; }
worker() { echo "127.0.0.1:$((base + 10 + $1))"; }
ready() { [ "$(http -m 1 GET "127.0.0.1:$((base + 70 + $1))" /ready)" = 200 ]; }

# put_config VERSION TENANTS: the operator's configuration; TENANTS is the list.
put_config() {
	put op/config <<-JSON
	{"Version":$1,"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":65536,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000},
	"Services":[{"Name":"model","HealthPath":"/healthz","MaxConnections":900,
	"Engine":{"Slots":64,"KvTokenBytes":590000,"Models":[{"Name":"m","LoadS":1}],"step_ms":1,"per_seq_ms":0.004,"context_per_k":0.006,
	"read_per_s":160000,"usual":{"prompt":100,"answer":20},"Layers":20,"LayerMb":1750,"ActBytes":29500,"PipeMbps":19000,
	"Kinds":[{"Name":"big","Mb":72000,"pace":2.4,"ReadX":3.2},{"Name":"small","Mb":21600,"pace":16,"ReadX":8.2}]}},
	{"Name":"app","HealthPath":"/healthz","MaxConnections":900}],
	"Tenants":$2,
	"Routes":[{"Name":"s","Host":"h.example","PathPrefix":"/s/","Kind":"streaming","StreamResume":true,"SessionAffinity":true,"TimeoutMs":6000,"TargetLatencyMs":500,"GapAimMs":250,"MaxAttempts":2,"Service":"model"},
	{"Name":"b","Host":"h.example","PathPrefix":"/b/","Kind":"non_idempotent","TimeoutMs":3000,"TargetLatencyMs":500,"MaxAttempts":1,"Service":"app"},
	{"Name":"r","Host":"h.example","PathPrefix":"/r/","Kind":"idempotent","TimeoutMs":3000,"TargetLatencyMs":500,"MaxAttempts":2,"Service":"app"}]}
	JSON
}
ACME='[{"Name":"acme","ApiKeys":["key-1"]}]'

# ask ROUTER ID PATH KEY: sends a request, prints the status of its answer.
ask() {
	http GET "$(router $1)" "/$3" 'Host: h.example' "Attempt-Id: $2" \
		"Authorization: Token $4" 'Deadline-Ms: 3000' 'Token-Count: 100,20'
}
served_by() {
	"$build/tool_calls" "probe$(date +%N)" 0.5 8 "$@" >"$dir/probe"
	! grep -v " 200 whole" "$dir/probe" >/dev/null
}

# Two zones, each with one large and two small engines, a plain worker and a
# router.  A script may define first_entries to write into the store before.
first_entries() { :; }
start_platform() {
	start_store
	put_config 1 "$ACME"
	first_entries
	start_worker 1 model a big
	start_worker 2 model a small
	start_worker 3 model a small
	start_worker 4 model b big
	start_worker 5 model b small
	start_worker 6 model b small
	start_worker 7 app a
	start_worker 8 app b
	start_router 1 a
	start_router 2 b
	wait_for "ready 1"
	wait_for "ready 2"
	wait_for "[ \$(cat $dir/worker.*.log | grep -c ^ORDER) -ge 6 ]"
	wait_for "served_by $(router 1) $(router 2)"
}
