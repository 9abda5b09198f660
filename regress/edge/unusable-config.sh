# Guards against a version that cannot be used and leaves the one before confirmed as
# the newest: the key that it takes away must stop working within its time, nothing may be
# denied by the old one, and the next version that can be used must be in force.
. edge/lib.sh
start_platform
echo "before: $(ask 1 before r/x)"
MORE_ROUTES=',{"Name":"x","Host":"h.example","PathPrefix":"/x/","Kind":"idempotent","TimeoutMs":500,"Service":"nobody"}'
put_config 2 '"key-2"'
MORE_ROUTES=""
wait_for "logged 1 configuration-bad" && echo "the version is refused"
sleep 1
echo "a route that it may have: $(ask 1 new-route x/x)"
wait_for "! ready 1" && wait_for "! ready 2" && echo "not ready"
sleep 3
echo "the old key, over five seconds later: $(ask 1 old-1 r/x) $(ask 2 old-2 r/x)"
grep -h '^GOT' "$dir"/worker.*.log | grep -c ' old-'
put_config 3
wait_for "ready 1" && wait_for "ready 2" && echo "ready with the next version"
echo "after: $(ask 1 after r/x)"
