#!/bin/sh
# One worker of seven fails 40 of 100 requests, which it has begun to work on, with
# 503, while its health check is good.  Such an answer has no Not-Executed: the request
# has run.  No booking may be answered 429 or 503 that has run.
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../lib.sh"
[ -x "$build/review_app" ] || give_up "no $build/review_app"

start_store
put_config 1 "$ACME"
for n in 1 2 3 4 5 6 7; do
	failing=0
	[ $n = 1 ] && [ "$TROUBLE" = 1 ] && failing=40
	"$build/review_app" $store "$(worker $n)" "w-$n" app a $failing >"$dir/worker.$n.log" 2>&1 &
	pids="$pids $!"
done
start_router 1 a
start_router 2 a
wait_for "ready 1"
wait_for "ready 2"
sleep 1.5
note "two routers serve; TROUBLE=$TROUBLE"
# Clients repeat a booking, as a new attempt, after a promise only.
client() {
	for i in $(seq 1 20); do
		r=$((($1 + i) % 2 + 1))
		status=$(ask $r book-$1-$i-a b/$1 key-1)
		echo "SENT book-$1-$i-a answered $status"
		case $status in 429 | 503 | 408 | 421)
			status=$(ask $r book-$1-$i-b b/$1 key-1)
			echo "SENT book-$1-$i-b answered $status"
			;;
		esac
	done
}
clients=""
for c in $(seq 1 32); do
	client $c >"$dir/client.$c" &
	clients="$clients $!"
done
wait $clients
cat "$dir"/client.* >>"$record"
sleep 0.3
cat "$dir"/worker.*.log >>"$record"
awk '$1 == "SENT" && ($4 == 503 || $4 == 429 || $4 == 408 || $4 == 421) { refused[$2] = $4 }
	$1 == "RAN" && $2 in refused { print $2, "was answered", refused[$2], "and has run" }' "$record" >"$dir/broken"
twice=$(awk '$1 == "RAN" { sub(/-[ab]$/, "", $2); if (n[$2]++ == 1) c++ } END { print c + 0 }' "$record")
note "attempts: $(grep -c ^SENT "$record"), runs: $(grep -c ^RAN "$record")"
note "bookings refused though they had run: $(grep -c . "$dir/broken"); bookings that ran twice, as their clients repeated them: $twice"
cat "$dir/broken" >>"$record"
[ -s "$dir/broken" ] && verdict yes "$(grep -c . "$dir/broken") bookings were answered 503 and have run"
verdict no "no booking was refused that has run"
