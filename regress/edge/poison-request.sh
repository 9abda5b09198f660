# A request crashes each worker that runs it, and its caller sends it again and
# again.  After the second crash the routers refuse it; restarted workers stay
# up, and other callers are served.
. edge/lib.sh
start_platform
ask() { curl -s -m 4 -o "$dir/null" -w '%{http_code}\n' -H 'Host: h.example' -H "Attempt-Id: $1" -H 'Authorization: Token key-1' "http://$(router 1)/r/$2"; }
ask p1 poison >"$dir/first"
wait_for "! kill -0 $worker_7 2>/dev/null" && wait_for "! kill -0 $worker_8 2>/dev/null" && echo "two workers died"
wait_for "logged 1 request-quarantined" && echo "quarantined"
start_worker 7 app a
start_worker 8 app b
wait_for "[ \$(ask ok-\$(date +%N) x) = 200 ]" && echo "others are served"
ask p2 poison
ask p3 poison
kill -0 $worker_7 && kill -0 $worker_8 && echo "both workers stayed up"
