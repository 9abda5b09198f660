# Guards against log lines that reach a connection, as it has the number of a standard
# descriptor that was closed when the router was started.
. edge/lib.sh
start_store
put_config 1
write_settings 1 a
MAGNOLIARAIL_NODE_FILE="$dir/router.1.json" "$build/magnolia-edge" <&- >&- 2>&- &
router_1=$!
pids="$pids $router_1"
wait_for "curl -s -o $dir/null http://127.0.0.1:$((base + 71))/"
for fd in 0 1 2; do readlink "/proc/$router_1/fd/$fd"; done
