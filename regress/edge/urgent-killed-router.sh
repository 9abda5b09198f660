# Guards against a router that is killed with a queue of requests and is started again:
# neither it nor the other one may serve less urgent requests before more urgent ones.
. edge/lib.sh
export PRIORITIES=1 FAKE_SLOTS=32 FAKE_EVENT_MS=50
start_four 2
kill_and_start() {
	kill -KILL $router_1
	sleep 0.5
	start_router 1 a
	wait_for "ready 1" && echo "ready again"
}
serve_by_priority kill_and_start
