# A router is killed after a request was quarantined, and starts again.  It must
# learn of the quarantine from the others before that request reaches it.
. edge/lib.sh
start_platform
ask 1 p1 r/poison >"$dir/first"
wait_for "logged 1 request-quarantined" && wait_for "logged 2 request-quarantined" && echo "quarantined"
kill -KILL $router_2
start_worker 7 app a
start_worker 8 app b
sleep 1
start_router 2 b
wait_for "ready 2"
wait_for "[ \$(ask 2 ok-\$(date +%N) r/x) = 200 ]" && echo "others are served"
ask 2 p2 r/poison
kill -0 $worker_7 && kill -0 $worker_8 && echo "both workers stayed up"
