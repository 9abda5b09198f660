# Tests the client of the platform's service: the result of each operation, and
# the status that it reports when the service fails.
#
# An answer can be lost after the write took effect, and a write can take
# effect after its caller gave up.  Both must be reported as lost.  If one were
# reported as unsent, the router would answer not-run for a booking that may
# still run.  A call is unsent only if no connection was made.
. "$(dirname "$0")/lib.sh"
init "$1"

# One process executes all calls, so that it sees the service fail and return.
mkfifo "$work/calls"
start kv sh -c "'$build/tool_kv' $platform <'$work/calls' >'$work/kv.out'"
exec 3>"$work/calls"
lines=0

# Sends a call and prints its result.
call() {
	echo "$*" >&3
	lines=$((lines + 1))
	until_ok enough
	sed -n "${lines}p" "$work/kv.out"
}

enough() {
	[ "$(wc -l <"$work/kv.out")" -ge $lines ]
}

start_platform
echo "- each operation"
call get config/head
call cas config/head 0 first
call cas config/head 0 second
call cas config/head 1 second
call get config/head
call watch config/head 1
call watch config/head 2
call delete config/head 1
call delete config/head 2
call get config/head
call take place/a holder-1 60000
call take place/a holder-1 60000
call take place/a holder-2 60000
call drop place/a holder-2
call drop place/a holder-1
call take place/a holder-2 60000
call instances
call loads

echo "- the answer is lost after the write"
inject_fault "$platform" '{"fault":"lose_after_write","count":1}'
call cas ledger/0/0 0 booking
call get ledger/0/0

echo "- the service pauses, and the write lands later"
signal platform STOP
call cas ledger/0/1 0 booking
signal platform CONT
sleep 0.3
call get ledger/0/1

echo "- over the service's rate"
inject_fault "$platform" '{"fault":"limit_per_s","value":0}'
call get ledger/0/1
inject_fault "$platform" '{"fault":"limit_per_s","count":0}'

echo "- the service is down, and returns"
signal platform TERM
wait_exit platform
call cas ledger/0/1 1 again
call cas ledger/0/1 1 again
call cas ledger/0/1 1 again
call cas ledger/0/1 1 again
start_platform
sleep 0.5
call get ledger/0/1

exec 3>&-
wait_exit kv
sed -n 's/.*: \(900[0-9] [a-z-]*\).*/\1/p' "$work/kv.err"

echo "- over this instance's own budget"
printf 'budget 1\nget a\nget a\nsleep 1100\nget a\n' |
	"$build/tool_kv" "$platform"
