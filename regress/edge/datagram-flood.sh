# Guards against a router that serves nobody, and does not stop, while datagrams come
# faster than it reads them.
. edge/lib.sh
start_store
put_config 1
start_worker 1 app a
start_worker 2 app a
start_router 1 a
wait_for "ready 1"
for n in 1 2 3; do
	"$build/tool_hint" $((base + 81)) 20000000 0 r-$n,q-$n ready=1 &
	pids="$pids $!"
done
sleep 0.5
"$build/tool_calls" -k r flood 4 20 $(router 1) >"$dir/calls"
[ $(grep -c . "$dir/calls") -ge 70 ] || echo "too few calls"
echo "not served: $(grep -vc ' 200 whole' "$dir/calls")"
ready 1 && echo "ready"
kill -TERM $router_1
wait_for "! running \$router_1.\$began_$router_1" && echo "stopped"
