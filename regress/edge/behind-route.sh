# Router 2 is cut off from the store when a route and a key are added.  It hears of the
# new version from router 1: it must not deny what it does not know yet.
. edge/lib.sh
mkfifo "$dir/proxy"
"$build/tool_proxy" 127.0.0.1:$((base + 1)) $store <>"$dir/proxy" 2>/dev/null &
pids="$pids $!"
start_store
put_config 1
start_worker 1 app a
start_router 1 a
STORE_SEEN=127.0.0.1:$((base + 1))
start_router 2 a
for n in 1 2; do wait_for "ready $n"; done
code() {
	curl -s -o "$dir/null" -w '%{http_code}' -H "Host: $2.example" -H "Authorization: Token $3" \
		-H "Attempt-Id: a-$1-$2-$3" -H "Deadline-Ms: 3000" "http://$(router $1)/r/x"
}
knows() { [ "$(code $1 $2 $3)" = 200 ]; }
for n in 1 2; do wait_for "knows $n h key-1"; done
echo "before: $(code 1 new key-1) $(code 2 new key-1) $(code 2 h key-2)"
echo silent >"$dir/proxy"
ROUTES='{"Name":"r","Host":"h.example","PathPrefix":"/r/","Kind":"idempotent","TimeoutMs":3000,"MaxAttempts":2,"Service":"app"},{"Name":"n","Host":"new.example","PathPrefix":"/r/","Kind":"idempotent","TimeoutMs":3000,"MaxAttempts":2,"Service":"app"}'
put_config 2 '"key-1","key-2"'
wait_for "knows 1 new key-1"
heard() {
	curl -s "http://127.0.0.1:$((base + 92))/metrics" | grep -q 'magnolia_config_version_heard 2'
}
wait_for heard
echo "cut off: $(code 1 new key-1) $(code 2 new key-1) $(code 2 h key-2)"
echo pass >"$dir/proxy"
wait_for "knows 2 new key-2"
echo "after: $(code 2 new key-1) $(code 2 h key-2) $(code 2 other key-1)"
