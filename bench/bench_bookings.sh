#!/bin/sh
# Measures concurrent bookings through 12 routers: bookings per second, and
# writes to and reads from the platform's service per booking, for several
# numbers of ledger shards.
# usage: bench/bench_bookings.sh BUILD_DIR
build=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)

# measure SHARDS: one measurement with newly started processes.
measure() {
	. "$root/regress/proc/lib.sh"
	init "$build"
	extra="\"ledger_shards\":$1,"
	start_all 12
	targets=""
	for i in 0 1 2 3 4 5 6 7 8 9 10 11; do
		targets="$targets --target $(router $i)"
	done
	sleep 2
	before=$(calls)
	# shellcheck disable=SC2086
	"$build/tool_load" --json --kind booking --path /book --count 2000 \
		--concurrency 64 --account choir-key --record "$record" \
		$targets >"$work/bookings"
	after=$(calls)
	echo "$before $after" | awk -v shards="$1" '{
		printf "%d shards: %.2f writes and %.2f reads a booking; ",
			shards, ($3 - $1) / 2000, ($4 - $2) / 2000
	}'
	sed 's/.*"ran":\([0-9]*\).*"per_s":\([0-9.]*\),"p50_ms":\([0-9.]*\),"p99_ms":\([0-9.]*\).*/\1 of 2000 ran, \2 a second, half in \3 ms, 99 in 100 in \4 ms/' \
		"$work/bookings"
	verify
}

# Prints the numbers of writes and reads since the start.
calls() {
	curl -s "http://$platform/stats" |
		sed 's/.*"gets":\([0-9]*\).*"swaps":\([0-9]*\).*/\2 \1/'
}

for shards in 16 4 2 1; do
	(measure $shards)
done
