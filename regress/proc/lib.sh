# Shared by the runs on real processes.  A script sources it and calls init
# with the build folder; all that it starts is ended by its id at the end.

# Sets up a folder for the run and a free range of ports.
init() {
	build=$1
	work=$(mktemp -d)
	pids=""
	take_ports
	platform=127.0.0.1:$base
	record=$work/record
	set=$work/set.json
	: >"$record"
	trap finish EXIT
	trap 'exit 1' HUP INT PIPE TERM
}

# Takes a block of free ports and keeps it locked until the run has ended:
# another run that looked for ports at the same moment would see the same ones
# free, and one of the two could not listen.
take_ports() {
	locks=${TMPDIR:-/tmp}/magnoliarail-ports
	mkdir -p "$locks"
	while :; do
		base=$("$build/tool_ports" 90) || exit 1
		exec 9>"$locks/$base"
		flock -n 9 && break
	done
}

# When a process began, in the system's ticks; nothing if there is none.
began() {
	sed 's/.*) //' "/proc/$1/stat" 2>/dev/null | cut -d' ' -f20
}

# Ends what is still running and removes the folder.  The id of a process that
# has ended may be another's by now; the time that it began tells them apart.
finish() {
	for entry in $pids; do
		pid=${entry%:*}
		[ "$(began "$pid")" = "${entry#*:}" ] || continue
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	cat "$work"/*.err >&2
	rm -rf "$work"
}

# start NAME COMMAND...: runs it in the background; pid_of NAME is its id.
start() {
	name=$1
	shift
	"$@" >"$work/$name.log" 2>>"$work/$name.err" 3>&- &
	echo $! >"$work/$name.pid"
	pids="$pids $!:$(began $!)"
}

pid_of() {
	cat "$work/$1.pid"
}

# signal NAME SIGNAL: TERM asks for a stop; KILL is a crash; STOP a pause.
signal() {
	kill -"$2" "$(pid_of "$1")"
	[ "$2" != STOP ] || until_ok stopped "$1"
}

# A signal is delivered after kill has returned; a thread that still ran could
# take one more request.
stopped() {
	! grep -h '^State:' "/proc/$(pid_of "$1")"/task/*/status |
		grep -qv 'T (stopped)'
}

# Waits for a process to end and returns its exit status.
ended() {
	wait "$(pid_of "$1")" 2>/dev/null
}

# until_ok COMMAND...: tries for ten seconds.
until_ok() {
	tries=0
	until "$@" >/dev/null 2>&1; do
		tries=$((tries + 1))
		[ $tries -lt 200 ] || { echo "gave up: $*"; return 1; }
		sleep 0.05
	done
}

answers() {
	curl -s -m 1 -o /dev/null "http://$1"
}

fault() {
	curl -s -m 2 -o /dev/null -d "$2" "http://$1/control"
}

start_platform() {
	start platform "$build/fake_platform" --port "$base" \
		--state "$work/state.json" "$@"
	until_ok answers "$platform/stats"
}

# Ports of a run: 0 platform, 1..9 plain services, 10..29 engines, 30.. three
# a router (callers, operators, peers).
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

# The hash that an account object holds of a bearer key (BLAKE2b-256).
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

# endpoint_plain NUMBER [STATE]: number 3 is of another service, which honours
# a downstream key.
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

# Writes the set of objects; $1 is the state of engine-0.
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

# Starts an engine or a plain service, each a process that can be killed.
start_engine() {
	start engine-"$1" "$build/fake_engine" --port "$(engine_port "$1")" \
		--set "$set" --record "$record" --platform "$platform" \
		--threads "${engine_threads:-96}" ${poison:-}
	until_ok answers "127.0.0.1:$(engine_port "$1")/v1/state"
}

start_plain() {
	keys=""
	[ "$1" != 3 ] || keys=--keys
	start exchange-"$1" "$build/fake_service" --port "$(port "$1")" \
		--record "$record" $keys
	until_ok answers "127.0.0.1:$(port "$1")/"
}

# start_router NUMBER [PLATFORM]: its first peer is the router before it.
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

# list_routers COUNT: the platform's list of instances, which says in how many
# parts a limit of the whole fleet is held.
list_routers() {
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

# Publishes the set; what magctl says goes to the log.
apply() {
	"$build/magctl" apply --platform "$platform" --replace "$set" \
		>>"$work/magctl.log" 2>>"$work/magctl.err"
}

# start_all ROUTERS: the whole bench of a run, ready to serve.
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
	list_routers "$1"
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

# load KIND PATH OPTION...: prints how many requests came to what end.
load() {
	kind=$1
	path=$2
	shift 2
	"$build/tool_load" --kind "$kind" --path "$path" --account choir-key \
		--layers 12 --record "$record" "$@" |
		grep -E '^(requests|ran|not-run|unknown|cut|wrong) '
}

# Holds every token, effect and answer of the run against each other.
verify() {
	"$build/tool_verify" "$record" 2>>"$work/verify.err"
}

# Counts the lines of a log that hold a pattern.
count_log() {
	grep -c "$2" "$work/$1.err"
}

# Sends one request by hand: prints status, outcome and whether the answer
# says when to come back.  ask METHOD URL [CURL OPTION...]; $key is the bearer.
ask() {
	method=$1
	shift
	head=$(mktemp "$work/head.XXXXXX")
	curl -s -m 20 -D "$head" -o /dev/null -X "$method" \
		-H "Authorization: Bearer ${key:-choir-key}" "$@" 2>/dev/null
	printf '%s %s%s\n' "$(sed -n '1s/.* \([0-9][0-9]*\) .*/\1/p' "$head")" \
		"$(sed -n 's/^Magnolia-Outcome: \([a-z-]*\).*/\1/p' "$head")" \
		"$(sed -n 's/^Retry-After: [0-9].*/ retry-after/p' "$head")"
}

# book ROUTER PATH INTENT [CURL OPTION...]: one booking by hand; what it was
# told goes to the record, for the checker.
book() {
	at=http://$(router "$1")$2
	intent=$3
	shift 3
	told=$(ask POST "$at" -H "Idempotency-Key: $intent" \
		-d "{\"intent\":\"$intent\"}" "$@")
	echo "$told"
	outcome=$(echo "$told" | cut -d' ' -f2)
	echo "answer kind=booking intent=$intent outcome=${outcome:-cut}" \
		>>"$record"
}

effects() {
	grep -c "^effect .* intent=$1\$" "$record"
}
