# Guards against urgencies of the last configuration that decide on: it swaps the high
# and the low priority while the account that had the high one overloads the engines.
. edge/lib.sh
export PRIORITIES=swapped FAKE_SLOTS=32 FAKE_EVENT_MS=50
start_four 2
swap() {
	PRIORITIES=1 put_config 2
	wait_for "logged 1 '\"version\":2,' && logged 2 '\"version\":2,'" && echo "swapped"
}
serve_by_priority swap 2 90
