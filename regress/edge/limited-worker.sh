# An engine and a plain worker name the requests a second that they take from all
# routers, while three routers of their data centre send them more.  A limit
# that is not read, or that each router keeps for itself, is passed, though
# others have room for all the rest.
. edge/lib.sh
start_store
put_config 1
for n in 1 2; do start_worker $n model a big; done
for n in 3 4; do start_worker $n app a; done
for n in 1 2 3; do start_router $n a; done
for n in 1 2 3; do wait_for "ready $n"; done
wait_for "[ \$(cat $dir/worker.*.log | grep -c ^ORDER) -ge 2 ]"
routers="$(router 1) $(router 2) $(router 3)"
wait_for "served_by $routers"
"$build/tool_calls" limited 14 90 $routers >"$dir/calls" &
calls=$!
sleep 2
name_limit 1 6
name_limit 3 9
wait $calls
limits
verify 0.95
