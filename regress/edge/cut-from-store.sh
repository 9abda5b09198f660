# One router cannot reach the store while the other one can.  It learns all that
# changes from its peer: a revoked key is denied within the bound, and nobody else is
# refused.  Once the peer is silent, too, keys must not be trusted for longer than the
# bound.
. edge/lib.sh
mkfifo "$dir/proxy"
"$build/tool_proxy" 127.0.0.1:$((base + 1)) $store <"$dir/proxy" 2>/dev/null &
pids="$pids $!"
exec 5>"$dir/proxy"
echo pass >&5
start_store
put_config 1
start_worker 1 app a
STORE_SEEN=127.0.0.1:$((base + 1)) start_router 1 a
start_router 2 a
ask() { curl -s -o "$dir/null" -w '%{http_code}' -H 'Host: h.example' -H "Attempt-Id: k$(date +%N)" -H "Authorization: Token $1" "http://$(router 1)/r/x"; }
now_s() { awk '{ print $1 }' /proc/uptime; }
wait_for "ready 1" && wait_for "ready 2"
wait_for "[ \$(ask key-1) = 200 ]"
wait_for "[ \$(curl -s http://$store/api/kv-range?PathPrefix=mag/instance | grep -o instance/[ab]/r- | wc -l) = 2 ]"
# The routers learn of each other from their next watch.
sleep 1.5
echo silent >&5
# The store changes meanwhile.
put_config 1
wait_for "logged 1 '\"source\":\"r-2\".*\"heard\":true'" && echo "follows its peer"
wait_for "logged 1 platform-unreachable" && echo "cut off from the store"
sleep 6
ready 1 && echo "ready"
echo "$(ask key-1)"
put_config 2 '"key-1","key-2"'
wait_for "logged 1 '\"version\":2,'"
put_config 3 '"key-2"'
revoked=$(now_s)
wait_for "[ \$(ask key-1) = 401 ]"
awk -v t=$revoked -v now=$(now_s) 'BEGIN { print now - t < 2 ? "the revoked key is denied in time" : "denied after " now - t " s" }'
echo "$(ask key-2)"
ready 1 && echo "ready"
kill -STOP $router_2
wait_for "! ready 1" && echo "not ready"
wait_for "[ \$(ask key-2) = 503 ]" && echo "refused"
kill -CONT $router_2
wait_for "ready 1" && echo "ready"
echo "$(ask key-2)"
echo pass >&5
wait_for "[ \"\$(curl -s http://127.0.0.1:$((base + 91))/metrics | grep 'follows_store 1')\" ]" && echo "follows the store"
logged 1 platform-reachable && echo "which is logged"
