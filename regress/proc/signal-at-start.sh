# Guards against signals that end a router before it waits for them: they arrive
# while it reads its settings, here from a pipe; and against SIGHUP that ends it
# while it serves, or cuts answers while it stops.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 1
cp "$work/router-0.json" "$work/whole"

# hangup COUNT: sends SIGHUP to router 0 and waits until that is logged.
hangup() {
	signal router-0 HUP
	until_ok logged "$1"
}

logged() {
	[ "$(count_log router-0 ' 8010 ')" -ge "$1" ]
}

inject_fault "127.0.0.1:$(port 1)" '{"fault":"delay_ms","value":1500}'
inject_fault "127.0.0.1:$(port 2)" '{"fault":"delay_ms","value":1500}'
load stream /score --name tune --count 8 --concurrency 8 --tokens 60 \
	--target "$(router 0)" >"$work/streams" &
streams=$!
load booking /book --name bells --count 8 --concurrency 8 \
	--target "$(router 0)" >"$work/bookings" &
bookings=$!
all_open() {
	curl -s "http://$(admin 0)/admin/status" | grep -q '"open":16'
}
until_ok all_open && hangup 1 && echo "HUP: serves"
signal router-0 TERM
until_ok grep -q ' 8002 ' "$work/router-0.err"
for sig in HUP TERM INT HUP; do
	signal router-0 $sig
done
wait $streams
wait $bookings
wait_exit router-0
echo "status $?"
echo "- streams"
cat "$work/streams"
echo "- bookings"
cat "$work/bookings"

# signal_at_start SIGNAL: starts router 0 and signals it while it reads.
signal_at_start() {
	: >"$work/router-0.err"
	rm -f "$work/pipe"
	mkfifo "$work/pipe"
	start router-0 "$build/magnoliad" --settings "$work/pipe"
	exec 8>"$work/pipe"
	signal router-0 "$1"
	(trap "" PIPE; cat "$work/whole" >&8) 2>/dev/null
	exec 8>&-
}

signal_at_start HUP
until_ok ready 0 && echo "HUP at the start: ready"
logged 1 && echo "HUP at the start: logged"
signal router-0 TERM
wait_exit router-0
echo "status $?"
for sig in TERM INT; do
	signal_at_start $sig
	wait_exit router-0
	echo "$sig at the start: status $?, $(count_log router-0 ' 8001 ') started"
done

# signal_while_loading NUMBER: starts router 0 and signals it while the dynamic linker
# loads its libraries, one of which defines curl_easy_init.
signal_while_loading() {
	: >"$work/router-0.err"
	start router-0 env LD_PRELOAD="$build/preload_signal.so" \
		PRELOAD_SIGNAL="$1" PRELOAD_SYMBOL=curl_easy_init \
		"$build/magnoliad" --settings "$work/whole"
}
signal_while_loading 1
until_ok ready 0 && echo "HUP while its libraries are loaded: ready"
logged 1 && echo "HUP while its libraries are loaded: logged"
signal router-0 TERM
wait_exit router-0
echo "status $?"
signal_while_loading 15
wait_exit router-0
echo "TERM while its libraries are loaded: status $?, $(count_log router-0 ' 8001 ') started"
verify
