# A request crashes two workers while new routers announce themselves to the
# router that sent it.  Its quarantine must reach the other existing router, not
# only the new ones.
. edge/lib.sh
start_platform
ask() { curl -s -m 4 -o "$dir/null" -w '%{http_code}\n' -H 'Host: h.example' -H "Attempt-Id: $2" -H 'Authorization: Token key-1' "http://$(router $1)/r/$3"; }
"$build/tool_peers" $((base + 81)) 600 &
peers=$!
ask 1 p1 poison >"$dir/first"
wait_for "logged 1 request-quarantined" && echo "quarantined"
sleep 0.5
start_worker 7 app a
start_worker 8 app b
wait_for "[ \$(ask 2 ok-\$(date +%N) x) = 200 ]" && echo "others are served"
ask 2 p2 poison
kill -0 $worker_7 && kill -0 $worker_8 && echo "both workers stayed up"
wait $peers
