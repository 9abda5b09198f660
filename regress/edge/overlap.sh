# Guards against processes of one instance that disturb each other: two wait for the one
# that serves, which is frozen and killed; one starts right after another was killed.
. edge/lib.sh
# entries: the store's entries of routers, with revisions.
entries() { curl -s "http://$store/api/kv-range?PathPrefix=mag/instance" | sed 's/"StoreRevision.*//'; }
started() { [ $(grep -c '"started"' "$dir/router.1.log") = $1 ]; }
readiness() { curl -s -m 1 -o "$dir/null" -w '%{http_code}' "http://127.0.0.1:$((base + 71))/ready"; }
start_twins 2
old=$router_1
entries >"$dir/entries"
"$build/tool_calls" overlap 9 40 $(router 1) $(router 2) >"$dir/calls" &
calls=$!
run_router 1
first=$router_1
run_router 1
second=$router_1
wait_for '[ $(grep -c start-delayed "$dir/router.1.log") -ge 2 ]' && echo "two wait"
sleep 1
started 1 && ready 1 && echo "the one before serves"
kill -KILL $first
sleep 0.5
started 1 && ready 1 && kill -0 $second && echo "one waits"
kill -STOP $old
sleep 0.5
started 1 && [ "$(readiness)" != 200 ] && echo "not ready while the one before is frozen"
kill -KILL $old
wait_for "started 2" && wait_for "ready 1" && echo "then it serves"
sleep 1
entries | cmp - "$dir/entries" && echo "the entries are the same"
wait $calls
verify 0.3
kill -KILL $second
run_router 1
wait_for "started 3" && wait_for "ready 1" && wait_for "served_by $(router 1)" && echo "a third one serves"
kill -TERM $router_1
run_router 1
wait_for '[ $(grep -c "\"name\":\"starting\"" "$dir/router.1.log") = 5 ]'
kill -TERM $router_1
wait $router_1
echo "stopped while it waits: status $?"
