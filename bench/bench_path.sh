#!/bin/sh
# Measures the request path with real processes in one run: requests per
# second and latency through a router and directly to the stand-in; resident
# memory when idle and with 500 streams; and the time from an accepted change
# until 12 routers have applied it, four of which cannot reach the platform's
# service.
# usage: bench/bench_path.sh BUILD_DIR
. "$(dirname "$0")/../regress/proc/lib.sh"
init "$(cd "$1" && pwd)"
threads=640
concurrency=512
rated=1600
engine_threads=400

# field NAME: extracts a number from the JSON that tool_load printed.
field() {
	sed "s/.*\"$1\":\([0-9.]*\).*/\1/"
}

# run KIND PATH TARGET COUNT CONCURRENCY
run() {
	"$build/tool_load" --json --kind "$1" --path "$2" --target "$3" \
		--count "$4" --concurrency "$5" --account choir-key \
		--name "b$(date +%s%N)"
}

# compare KIND PATH COUNT: measures the stand-in directly, then through the
# router.
compare() {
	for at in 1 32; do
		count=$(($3 * (at == 1 ? 1 : 10)))
		direct=$(run "$1" "$2" "127.0.0.1:$(port 1)" $count $at)
		routed=$(run "$1" "$2" "$(router 0)" $count $at)
		for name in per_s p50_ms p99_ms; do
			printf '%s %s at once %s: direct %s router %s\n' \
				"$1" $at $name "$(echo "$direct" | field $name)" \
				"$(echo "$routed" | field $name)"
		done
		echo "$1 $at at once: not whole $((count -
			$(echo "$routed" | field ran)))"
	done
}

resident() {
	sed -n 's/^VmRSS: *//p' "/proc/$(pid_of router-0)/status"
}

# applied_ms ROUTER REVISION: prints the time of day, in ms, at which a router
# logged that it applied a revision; nothing if it has not.
applied_ms() {
	stamp=$(sed -n "s/^<5>\([^ ]*\) .*config-applied revision=$2 .*/\1/p" \
		"$work/router-$1.err")
	[ -n "$stamp" ] && date -d "$stamp" +%s%3N
}

all_hold() {
	for i in 0 1 2 3 4 5 6 7 8 9 10 11; do
		grep -q "config-applied revision=$1 " "$work/router-$i.err" ||
			return 1
	done
}

# slowest ROUTER...: prints the ms from the acceptance until the last of the
# routers applied the revision.
slowest() {
	worst=0
	for i in "$@"; do
		took=$(($(applied_ms "$i" "$revision") - accepted))
		[ $took -le $worst ] || worst=$took
	done
	echo $worst
}

start_all 1
echo "resident memory at rest: $(resident)"
compare lookup /lookup 2000
compare booking /book 100
"$build/tool_load" --kind stream --path /score --count 500 --concurrency 500 \
	--tokens 40 --layers 12 --account choir-key --target "$(router 0)" \
	>"$work/streams" &
streams=$!
sleep 6
running=$(curl -s "http://$(admin 0)/metrics" |
	sed -n 's/^magnolia_requests_offered_total //p')
echo "resident memory with 500 streams: $(resident) (offered $running)"
wait $streams
grep -E '^(ran|not-run|unknown|cut|wrong|first_p50_ms|p50_ms|p99_ms) ' \
	"$work/streams" | sed 's/^/500 streams: /'

for i in 1 2 3 4 5 6 7; do
	start_router $i
done
for i in 8 9 10 11; do
	start_router $i "127.0.0.1:$(port 89)"
done
for i in 1 2 3 4 5 6 7 8 9 10 11; do
	until_ok ready $i
done
revision=1
for state in drain active drain active drain; do
	write_set $state
	apply
	accepted=$(date +%s%3N)
	revision=$((revision + 1))
	until_ok all_hold $revision
	echo "change $revision in force: on 8 routers with the service" \
		"$(slowest 0 1 2 3 4 5 6 7) ms, on 4 cut from it" \
		"$(slowest 8 9 10 11) ms after its acceptance"
done
