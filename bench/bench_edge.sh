#!/bin/sh
# Measures magnolia-edge with stand-ins: processor time per relayed event and
# plain request, and resident memory when idle and with open streams.
build=$(cd "$1" && pwd)
cd "$(dirname "$0")/../regress" || exit 1
set -- "$build"
export FAKE_SLOTS=1000 FAKE_EVENT_MS=${FAKE_EVENT_MS:-20}
. edge/lib.sh
start_platform
ticks() { awk '{print $14 + $15}' "/proc/$router_1/stat"; }
rss() { awk '/VmRSS/ {print $2}' "/proc/$router_1/status"; }
events() { curl -s "http://127.0.0.1:$((base + 91))/metrics" | awk '$1 == "magnolia_events_relayed_total" {e = $2} $1 == "magnolia_requests_total" {r = $2} END {print e, r}'; }
idle_kb=$(rss)
hz=$(getconf CLK_TCK)
set -- $(events) $(ticks)
"$build/tool_calls" cost 10 200 $(router 1) >"$dir/calls" &
calls=$!
sleep 5
loaded_kb=$(rss)
wait $calls
set -- "$@" $(events) $(ticks)
awk -v hz="$hz" -v e=$(($4 - $1)) -v r=$(($5 - $2)) -v t=$(($6 - $3)) -v idle="$idle_kb" -v loaded="$loaded_kb" 'BEGIN {
	printf "%d events, %d requests, %.2f s of processor time: %.1f us an event all in\n", e, r, t / hz, t / hz * 1e6 / e
	printf "resident %d kB at rest, %d kB under this load\n", idle, loaded }'
