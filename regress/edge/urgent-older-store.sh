# Guards against priorities that depend on the store: it is away, and returns from an
# older copy with the same configuration.
. edge/lib.sh
export PRIORITIES=1 FAKE_SLOTS=32 FAKE_EVENT_MS=50
start_four 2
store_copies
put_config 2
wait_for "logged 1 '\"version\":2,' && logged 2 '\"version\":2,'"
return_older() { store_returns 1000 800 400; }
serve_by_priority return_older
