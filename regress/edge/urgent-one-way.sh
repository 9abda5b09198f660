# Guards against a router that sends its messages to another one and gets none of it: it
# must reserve capacity for more urgent requests by what it knows itself.
. edge/lib.sh
export PRIORITIES=1 FAKE_SLOTS=64 FAKE_EVENT_MS=50
start_cut_off 2
lose_messages() { curl -s -o "$dir/null" "http://$store/stand-in/lose?Key=r-1&View=2"; }
serve_by_priority lose_messages
