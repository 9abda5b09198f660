# Guards against routers that abort at the limit on threads, which the process before
# them may still have.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 1
signal router-0 TERM
wait_exit router-0

ready_or_ended() {
	ready 0 || has_ended router-0
}
for number in 1 2 3 4 5 6 7 8 9 10 11 12; do
	: >"$work/router-0.err"
	start router-0 env LD_PRELOAD="$build/preload_threads.so" PRELOAD_THREAD=$number \
		"$build/magnoliad" --settings "$work/router-0.json"
	until_ok ready_or_ended
	if ready 0; then
		echo "thread $number: ready"
		signal router-0 KILL
	fi
	wait_exit router-0
	status=$?
	[ $status = 137 ] || echo "thread $number: status $status, $(count_log router-0 ' 8004 ') reason"
done
