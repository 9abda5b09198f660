# Guards against routers that use what routers of another deployment report, whose
# addresses they know because these were used before.
. edge/lib.sh
start_store
put_config 1
start_worker 1 app a
DEPLOYMENT=one
start_router 1 a
start_router 2 a
DEPLOYMENT=two
start_router 3 a
for n in 1 2 3; do wait_for "ready $n"; done
for n in 1 3; do
	wait_for "logged $n '\"event\":10601.*\"why\":\"deployment\"'" && echo "router $n drops datagrams"
done
heard() { curl -s "http://127.0.0.1:$((base + 90 + $1))/metrics" | sed -n 's/^magnolia_peers_heard //p'; }
wait_for '[ "$(heard 1) $(heard 2) $(heard 3)" = "1 1 0" ]' && echo "routers of one deployment hear each other"
# polled QUERY: prints the status of router 3's answer to a router that follows it.
polled() { curl -s -o "$dir/null" -w '%{http_code}\n' "http://127.0.0.1:$((base + 83))/changes?era=1&after=0&wait_us=0$1"; }
echo "poll of its own deployment: $(polled "&deployment=$("$build/tool_hash" two)")"
echo "poll of another one: $(polled "&deployment=$("$build/tool_hash" one)")"
echo "poll of an earlier version: $(polled "")"
"$build/tool_calls" -k r calls 1 30 $(router 1) $(router 2) $(router 3) >"$dir/calls"
[ $(grep -c . "$dir/calls") -ge 25 ] || echo "too few calls"
echo "not served: $(grep -vc ' 200 whole' "$dir/calls")"
