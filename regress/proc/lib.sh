# Shared by the runs on real processes.  A script sources it and calls init
# with the build folder; all that it starts is ended by its id at the end.

# Sets up a folder for the run and a free range of ports.
init() {
	build=$1
	work=$(mktemp -d)
	pids=""
	base=$("$build/tool_ports" 90)
	platform=127.0.0.1:$base
	record=$work/record
	set=$work/set.json
	: >"$record"
	trap finish EXIT
	trap 'exit 1' INT TERM
}

# Ends what is still running and removes the folder.
finish() {
	for pid in $pids; do
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
	pids="$pids $!"
}

pid_of() {
	cat "$work/$1.pid"
}

# signal NAME SIGNAL: TERM asks for a stop; KILL is a crash; STOP a pause.
signal() {
	kill -"$2" "$(pid_of "$1")"
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
