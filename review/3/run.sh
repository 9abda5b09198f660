#!/bin/sh
# Twenty-four routers in one zone; two have faster links.  The store turns these two away
# for 8.8 s and serves the others.  Meanwhile a worker says that it drains, and goes on
# serving.  The twenty-two other routers reach the store all the time: none may send a
# request to that worker later than 2 s after that.
here=$(cd "$(dirname "$0")" && pwd)
# What was sent, answered and run.
record=$here/record.txt
: >"$record"
. "$here/../lib.sh"

ip() { echo 127.0.1.$1; }
start() {
	cat >"$dir/router.$1.json" <<-JSON
	{"instance":"r-$1","data_centre":"a","address":"$(ip $1)",
	"callers":"$(ip $1):$((base + 60))","readiness":"$(ip $1):$((base + 70))",
	"peer_port":$((base + 80)),"metrics_port":$((base + 90)),
	"store":"$2","store_lease_ms_min":1000,"first_start":true,
	"stop_s":8,"config_apply_ms":2000,"drain_ms":2000,"keys_stale_ms":5000,
	"keys_fail_closed":true,"retry_ratio":0.2,"retry_window_s":10,
	"retry_slack":200,"stall_ms":3000,"open_files":6300,"link_mbps":$3}
	JSON
	MAGNOLIARAIL_NODE_FILE="$dir/router.$1.json" "$build/magnolia-edge" >>"$dir/router.$1.log" 2>&1 &
	pids="$pids $!"
}
is_ready() { [ "$(http -m 1 GET "$(ip $1):$((base + 70))" /ready)" = 200 ]; }
mkfifo "$dir/proxy"
"$build/tool_proxy" 127.0.0.1:$((base + 1)) $store <>"$dir/proxy" 2>/dev/null &
pids="$pids $!"
start_store
put_config 1 "$ACME"
start_worker 1 app a
start_worker 2 app a
start_worker 3 app a
others=""
for n in $(seq 24); do
	if [ $n -le 2 ]; then
		start $n 127.0.0.1:$((base + 1)) 2000
	else
		start $n $store 1500
		others="$others $(ip $n):$((base + 60))"
	fi
done
for n in $(seq 24); do wait_for "is_ready $n"; done
sleep 3
note "24 routers are ready; TROUBLE=$TROUBLE"
# tool_calls takes sixteen addresses at the most.
"$build/tool_calls" -k br calls 13 60 $(echo $others | cut -d' ' -f1-11) >"$dir/calls.1" 2>/dev/null &
calls1=$!
"$build/tool_calls" -k br more 13 60 $(echo $others | cut -d' ' -f12-22) >"$dir/calls.2" 2>/dev/null &
calls2=$!
sleep 2
if [ "$TROUBLE" = 1 ]; then
	note "$(now_us) the store turns routers 1 and 2 away (reset)"
	echo sever >"$dir/proxy"
fi
began=$(now_us)
sleep 1.5
# The worker that gets the most requests.
busiest=$(for n in 1 2 3; do echo "$(grep -c ^GOT "$dir/worker.$n.log") $n"; done | sort -n | tail -n 1 | cut -d' ' -f2)
http GET "$(worker $busiest)" /stand-in/drain >/dev/null
wait_for "http -b GET $store '/api/kv-range?PathPrefix=servers/w-$busiest' | sed -n 's/.*\"Value\": *\"\([^\"]*\)\".*/\1/p' | base64 -d | grep -q draining"
left=$(now_us)
note "$left the store has taken that w-$busiest drains"
# Within the 9 s for which the site has it.
sleep_until $((began + 8800000))
echo pass >"$dir/proxy"
note "$(now_us) the store serves all routers again"
wait $calls1 $calls2
record_all
cat "$dir"/calls.* | awk '{ print $3, $4, $5 }' | sort | uniq -c >>"$record"
awk -v t=$left '$1 == "GOT" { print $0, "after_s", ($3 - t) / 1e6 }' "$dir/worker.$busiest.log" >>"$record"
note "$(awk -v t=$left '$1 == "GOT" { s = ($3 - t) / 1e6; if (s > 0) n++; if (s > last) last = s; if (s > 2) late++ }
	END { print "requests at it after that:", n + 0, "the last one after", last + 0, "s, later than 2 s:", late + 0 }' "$dir/worker.$busiest.log")"
late=$(awk -v t=$left '$1 == "GOT" && $3 - t > 2e6' "$dir/worker.$busiest.log" | grep -c .)
[ "$late" -gt 0 ] && verdict yes "$late requests reached w-$busiest later than DrainMs after it had said that it drains"
verdict no "none reached it later than DrainMs"
