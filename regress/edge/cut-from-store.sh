# One router cannot reach the store while the other one can.  Keys must not be
# trusted for longer than the bound.  Without its peer's confirmation that they
# are current, the router would refuse all of its callers while the cut lasts,
# and their retries would reach it again.
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
ask() { curl -s -o "$dir/null" -w '%{http_code}' -H 'Host: h.example' -H "Attempt-Id: k$(date +%N)" -H 'Authorization: Token key-1' "http://$(router 1)/r/x"; }
wait_for "ready 1" && wait_for "ready 2"
wait_for "[ \$(ask) = 200 ]"
wait_for "[ \$(curl -s http://$store/api/kv-range?PathPrefix=mag/instance | grep -o instance/[ab]/r- | wc -l) = 2 ]"
# The routers learn of each other from their next watch.
sleep 1.5
echo silent >&5
# The store changes meanwhile, and the router learns of that from its peer.  It
# must still detect that it is cut off.
put_config 1
wait_for "logged 1 platform-unreachable" && echo "cut off from the store"
sleep 6
ready 1 && echo "ready"
echo "$(ask)"
# A key is revoked; the peer knows of it and this router does not.
put_config 2 '"key-2"'
wait_for "! ready 1" && echo "not ready"
wait_for "[ \$(ask) = 503 ]" && echo "refused"
