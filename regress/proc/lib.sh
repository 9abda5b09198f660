# Functions for the tests with real processes.  A script sources this file and
# calls init with the build directory; every process that it starts is killed
# by its pid on exit.

# init BUILD_DIR: creates a work directory and reserves a range of ports.
init() {
	build=$1
	work=$(mktemp -d)
	pids=""
	lock_ports
	platform=127.0.0.1:$base
	record=$work/record
	set=$work/set.json
	: >"$record"
	trap cleanup EXIT
	trap 'exit 1' HUP INT PIPE TERM
}

# Reserves a block of free ports with a lock that is held until the script
# exits.  Without the lock, two runs that search at the same time would find
# the same ports free, and one of them could not listen.
lock_ports() {
	locks=${TMPDIR:-/tmp}/magnoliarail-ports
	mkdir -p "$locks"
	while :; do
		base=$("$build/tool_ports" 90) || exit 1
		exec 9>"$locks/$base"
		flock -n 9 && break
	done
}

# start_time PID: prints a process's start time in clock ticks, or nothing if
# it does not exist.
start_time() {
	sed 's/.*) //' "/proc/$1/stat" 2>/dev/null | cut -d' ' -f20
}

# Kills the remaining processes and removes the work directory.  A pid may have
# been reused after its process exited; the start time identifies the process.
cleanup() {
	for entry in $pids; do
		pid=${entry%:*}
		[ "$(start_time "$pid")" = "${entry#*:}" ] || continue
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	cat "$work"/*.err >&2
	rm -rf "$work"
}

# start NAME COMMAND...: runs a command in the background; pid_of NAME prints
# its pid.
start() {
	name=$1
	shift
	"$@" >"$work/$name.log" 2>>"$work/$name.err" 3>&- &
	echo $! >"$work/$name.pid"
	pids="$pids $!:$(start_time $!)"
}

pid_of() {
	cat "$work/$1.pid"
}

# has_ended NAME: tells whether a process that was started has ended.  Its pid
# may be another one's by then.
has_ended() {
	pid=$(pid_of "$1")
	at=$(start_time "$pid")
	case "$pids " in
	*" $pid:${at:-none} "*) return 1 ;;
	esac
}

# signal NAME SIGNAL: TERM requests a stop, KILL simulates a crash, STOP pauses
# the process.
signal() {
	has_ended "$1" && { echo "signal: $1 has ended" >&2; return 1; }
	kill -"$2" "$(pid_of "$1")"
	[ "$2" != STOP ] || until_ok stopped "$1"
}

# stopped NAME: tells whether all threads have stopped.  A signal is delivered
# after kill has returned, so a running thread could accept one more request.
stopped() {
	! grep -h '^State:' "/proc/$(pid_of "$1")"/task/*/status |
		grep -qv 'T (stopped)'
}

# wait_exit NAME: waits for a process and returns its exit status.
wait_exit() {
	wait "$(pid_of "$1")" 2>/dev/null
}

# until_ok COMMAND...: repeats a command until it succeeds, for about 10 s.
until_ok() {
	tries=0
	until "$@" >/dev/null 2>&1; do
		tries=$((tries + 1))
		[ $tries -lt 200 ] || { echo "timed out: $*"; return 1; }
		sleep 0.05
	done
}

responds() {
	curl -s -m 1 -o /dev/null "http://$1"
}

inject_fault() {
	curl -s -m 2 -o /dev/null -d "$2" "http://$1/control"
}

start_platform() {
	start platform "$build/fake_platform" --port "$base" \
		--state "$work/state.json" "$@"
	until_ok responds "$platform/stats"
}

# port OFFSET: prints a port of this run.  Offsets: 0 platform, 1..9 plain
# services, 10..29 engines, from 30 three per router (listen, admin, rpc).
port() {
	echo $((base + $1))
}

engine_port() {
	port $((10 + $1))
}

router() {
	echo 127.0.0.1:$(port $((30 + 3 * $1)))
}

admin() {
	echo 127.0.0.1:$(port $((31 + 3 * $1)))
}

peer() {
	echo 127.0.0.1:$(port $((32 + 3 * $1)))
}

# key_hash KEY: prints the key_hash of a bearer key (BLAKE2b-256).
key_hash() {
	printf '%s' "$1" | b2sum -l 256 | cut -d' ' -f1
}

# endpoint_engine NUMBER FIRST LAST [STATE]
endpoint_engine() {
	cat <<-EOF
	{"kind":"endpoint","name":"engine-$1","service":"score-model",
	 "data_centre":"dc-a","address":"127.0.0.1:$(engine_port "$1")",
	 "first_layer":$2,"last_layer":$3,"tokens_per_s":${rated:-400},
	 "concurrency":${concurrency:-16},"state":"${4:-active}"}
	EOF
}

# endpoint_plain NUMBER [STATE]: number 3 belongs to another service, which
# honours a downstream key.
endpoint_plain() {
	service=exchange-app
	key=none
	[ "$1" != 3 ] || { service=hire-app; key=resend; }
	cat <<-EOF
	{"kind":"endpoint","name":"exchange-$1","service":"$service",
	 "data_centre":"dc-a","address":"127.0.0.1:$(port "$1")",
	 "concurrency":32,"downstream_key":"$key",
	 "state":"${2:-active}"}
	EOF
}

# write_set [STATE]: writes the set of objects; STATE is that of engine-0.
write_set() {
	cat >"$set" <<-EOF
	{"objects":[
	{"kind":"service","name":"score-model","type":"model","layers":12,
	 "not_begun_status":[503]},
	{"kind":"service","name":"exchange-app","type":"plain",
	 "not_begun_status":[503]},
	{"kind":"service","name":"hire-app","type":"plain",
	 "not_begun_status":[503]},
	{"kind":"account","name":"choir","weight":2,
	 "key_hash":"$(key_hash choir-key)"},
	{"kind":"account","name":"ringers","weight":1,
	 "key_hash":"$(key_hash ringers-key)"},
	{"kind":"route","name":"score","path":"/score","service":"score-model",
	 "idempotent":true,"key":"optional"},
	{"kind":"route","name":"lookup","path":"/lookup",
	 "service":"exchange-app","idempotent":true,"key":"optional"},
	{"kind":"route","name":"book","path":"/book","service":"exchange-app",
	 "idempotent":false,"key":"required"},
	{"kind":"route","name":"hire","path":"/hire","service":"hire-app",
	 "idempotent":false,"key":"required"},
	$(endpoint_engine 0 0 3 "${1:-active}"),
	$(endpoint_engine 1 4 7),
	$(endpoint_engine 2 8 11),
	$(endpoint_engine 3 0 3),
	$(endpoint_engine 4 4 7),
	$(endpoint_engine 5 8 11),
	$(endpoint_plain 1),
	$(endpoint_plain 2),
	$(endpoint_plain 3)
	]}
	EOF
}

# start_engine NUMBER, start_plain NUMBER: start an engine or a plain service
# as a process of its own, so that it can be killed.
start_engine() {
	start engine-"$1" "$build/fake_engine" --port "$(engine_port "$1")" \
		--set "$set" --record "$record" --platform "$platform" \
		--threads "${engine_threads:-96}" ${poison:-}
	until_ok responds "127.0.0.1:$(engine_port "$1")/v1/state"
}

start_plain() {
	keys=""
	[ "$1" != 3 ] || keys=--keys
	start exchange-"$1" "$build/fake_service" --port "$(port "$1")" \
		--record "$record" $keys
	until_ok responds "127.0.0.1:$(port "$1")/"
}

# start_router NUMBER [PLATFORM]: its only configured peer is the router with
# the previous number.
start_router() {
	peers=""
	[ "$1" = 0 ] || peers="\"peers\":[\"$(peer $(($1 - 1)))\"],"
	cat >"$work/router-$1.json" <<-EOF
	{"cluster":"test","instance":"router-$1","data_centre":"dc-a",
	 "listen":"$(router "$1")","admin":"$(admin "$1")",
	 "rpc":"$(peer "$1")","platform":["${2:-$platform}"],$peers
	 ${extra:-}"threads":${threads:-64},"kv_timeout_ms":500,"shutdown_notice_ms":200,
	 "place":false}
	EOF
	start router-"$1" "$build/magnoliad" --settings "$work/router-$1.json"
}

ready() {
	curl -sf -m 1 -o /dev/null "http://$(admin "$1")/readyz"
}

# register_routers COUNT: sets the platform's list of instances, which
# determines into how many shares a limit of the whole fleet is divided.
register_routers() {
	rows=""
	i=0
	while [ $i -lt "$1" ]; do
		rows="$rows${rows:+,}{\"name\":\"router-$i\",
			\"address\":\"$(peer $i)\",\"state\":\"live\",
			\"kind\":\"entry\",\"data_centre\":\"dc-a\"}"
		i=$((i + 1))
	done
	curl -s -m 2 -o /dev/null -X PUT "http://$platform/instances" \
		-d "{\"instances\":[$rows]}"
}

# Publishes the set; the output of magctl goes to magctl.log and magctl.err.
apply() {
	"$build/magctl" apply --platform "$platform" --replace "$set" \
		>>"$work/magctl.log" 2>>"$work/magctl.err"
}

# start_all ROUTERS: starts the platform, the engines, the services and the
# routers, and waits until the routers are ready.
start_all() {
	write_set
	start_platform
	for i in 0 1 2 3 4 5; do
		start_engine $i
	done
	for i in 1 2 3; do
		start_plain $i
	done
	apply || echo "apply failed"
	register_routers "$1"
	i=0
	while [ $i -lt "$1" ]; do
		start_router $i
		i=$((i + 1))
	done
	i=0
	while [ $i -lt "$1" ]; do
		until_ok ready $i
		i=$((i + 1))
	done
}

# load KIND PATH OPTION...: runs tool_load and prints the requests per outcome.
load() {
	kind=$1
	path=$2
	shift 2
	"$build/tool_load" --kind "$kind" --path "$path" --account choir-key \
		--layers 12 --record "$record" "$@" |
		grep -E '^(requests|ran|not-run|unknown|cut|wrong) '
}

# Checks all recorded tokens, effects and answers for contradictions.
verify() {
	"$build/tool_verify" "$record" 2>>"$work/verify.err"
}

# count_log NAME PATTERN: counts the matching lines of a process's log.
count_log() {
	grep -c "$2" "$work/$1.err"
}

# send_request METHOD URL [CURL OPTION...]: sends one request with the bearer
# key $key; prints status, outcome and whether the answer has Retry-After.
send_request() {
	method=$1
	shift
	head=$(mktemp "$work/head.XXXXXX")
	curl -s -m 20 -D "$head" -o /dev/null -X "$method" \
		-H "Authorization: Bearer ${key:-choir-key}" "$@" 2>/dev/null
	printf '%s %s%s\n' "$(sed -n '1s/.* \([0-9][0-9]*\) .*/\1/p' "$head")" \
		"$(sed -n 's/^Magnolia-Outcome: \([a-z-]*\).*/\1/p' "$head")" \
		"$(sed -n 's/^Retry-After: [0-9].*/ retry-after/p' "$head")"
}

# send_booking ROUTER PATH INTENT [CURL OPTION...]: sends one booking, prints
# the answer and records it for tool_verify.
send_booking() {
	at=http://$(router "$1")$2
	intent=$3
	shift 3
	told=$(send_request POST "$at" -H "Idempotency-Key: $intent" \
		-d "{\"intent\":\"$intent\"}" "$@")
	echo "$told"
	outcome=$(echo "$told" | cut -d' ' -f2)
	echo "answer kind=booking intent=$intent outcome=${outcome:-cut}" \
		>>"$record"
}

# count_effects INTENT: counts the recorded effects of a booking.
count_effects() {
	grep -c "^effect .* intent=$1\$" "$record"
}
