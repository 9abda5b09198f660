# Guards against a router that stops for 3 s, continues, and holds its old queue or what
# it knew of the demand of others: more urgent requests would wait behind them.
. edge/lib.sh
export PRIORITIES=1 FAKE_SLOTS=32 FAKE_EVENT_MS=50
start_four 2
stop_and_continue() {
	kill -STOP $router_1
	sleep 3
	kill -CONT $router_1
}
serve_by_priority stop_and_continue
