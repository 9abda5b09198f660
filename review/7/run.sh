#!/bin/sh
# Another writer puts eight entries into the store whose keys hold a blank.  The store
# lists 50 items a page, so that one of these keys ends the first page.  Then all
# routers are killed, and started again a second later.
cd "$(dirname "$0")/../.." || exit 2
trouble=${TROUBLE:-1}
record=review/7/record.txt
: >"$record"
. review/lib-2.sh

export EVENTS=20 EVENT_MS=20 PAGE=50 STORE=store-2
# The 41 workers and four routers of the site.
start_store
put_config 1
for n in $(seq 38); do start_worker $n model a a100; done
for n in 39 40 41; do start_worker $n app a -; done
sleep 1
for n in 1 2 3 4; do start_router $n a; done
for n in 1 2 3 4; do wait_for "is_ready $n"; done
wait_for '[ "$(cat "$dir"/worker.*.log | grep -c "^ORDER")" -ge 30 ]'
for n in 1 2 3 4; do wait_for "serves $n /s/probe && serves $n /r/probe"; done
say "times are in microseconds since the boot"

# call NAME: sends ten bookings, look-ups and streams to each router in turn; prints
# how many of 40 were served.
call() {
	for n in $(seq 40); do
		case $((n % 3)) in
		0) answer=$(ask $((n % 4 + 1)) POST /b/book "$1-$n" -t 3) ;;
		1) answer=$(ask $((n % 4 + 1)) GET /r/look "$1-$n" -t 3) ;;
		2) answer=$(ask $((n % 4 + 1)) POST /s/stream "$1-$n" -t 3) ;;
		esac
		echo "SENT $1-$n router $((n % 4 + 1)): status, end, events, bytes, sent, ended: $answer" >>"$record"
	done
	grep -c "^SENT $1-.* ended: 200 whole" "$record"
}
before=$(call before)
say "served before: $before of 40"
if [ "$trouble" = 1 ]; then
	echo '{"Service":"nightly-batch","Address":"127.0.0.1:9","Zone":"a","State":"paused"}' >"$dir/foreign"
	for n in 1 2 3 4 5 6 7 8; do
		"$bin/call-2" -b "$dir/foreign" $store POST "/stand-in/put?Key=servers/x%20batch%20$n" >"$dir/put"
	done
	say "ENTRIES 'servers/x batch 1' to 'servers/x batch 8' of another writer at $(now_us)"
fi
sleep 2
between=$(call between)
say "served with them in the list: $between of 40"
for n in 1 2 3 4; do eval "kill -KILL \$router_$n"; done
say "KILLED all routers at $(now_us)"
sleep 1
for n in 1 2 3 4; do start_router $n a; done
say "STARTED all routers at $(now_us)"
sleep 13
after=$(call after)
for n in 1 2 3 4; do
	eval "kill -0 \$router_$n" && say "router $n runs; its last line: $(tail -n 1 "$dir/router.$n.log" | cut -c1-200)"
done
grep -h '^RUN' "$dir"/worker.*.log | sort -s -k3,3n >>"$record"
say "served later than RecoveryS (12 s) after the start: $after of 40, before: $before of 40"
[ "$before" -ge 10 ] || give_up "not served before"
[ "$after" -ge 10 ]
