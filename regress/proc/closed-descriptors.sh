# Guards against a connection that gets the number of a closed standard descriptor,
# to which the log, or the output of magctl, would then be written.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 1
signal router-0 TERM
wait_exit router-0
start router-0 sh -c 'exec "$0" "$@" <&- >&- 2>&-' "$build/magnoliad" \
	--settings "$work/router-0.json"
until_ok ready 0
for fd in 0 1 2; do
	echo "$fd: $(readlink "/proc/$(pid_of router-0)/fd/$fd")"
done
sh -c 'exec "$0" "$@" <&- >&- 2>&-' "$build/magctl" status --admin "$(admin 0)"
echo "magctl: status $?"
key=choir-key
send_request GET "http://$(router 0)/lookup"
