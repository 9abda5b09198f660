# Guards against keys of another writer that keep routers from reading the list of the
# store: each ends a page, and holds bytes with a meaning in a request target.
. edge/lib.sh
# put_keys PREFIX: one key a page, with each kind of byte; none names a worker to use.
put_keys() {
	for key in a00%2520 a01%2541 a02%26b%3D a03%2B a04%25C3%25A9 a05%20x a06%23x a07%25 \
		a08%25zz a09%3F a10%C3%A9 a11%01 a12%22%5C a13%0D%0Ax 'a14;b=/c,d' a15$(printf '%0180d' 0 | sed 's/0/%25/g'); do
		curl -s -X POST "http://$store/stand-in/put?Key=$1$key" -d '{"Service":"batch","State":"paused"}'
	done
}
start_platform
curl -s "http://$store/stand-in/pages?Items=1"
put_keys servers/
put_keys ""
served_once && echo "routers that run: served"
# A later worker must be seen after the store has dropped its history, too.
fault silent
curl -s -X POST "http://$store/stand-in/put?Key=other" -d 1
curl -s "http://$store/stand-in/forget"
fault none
start_worker 9 app a
for r in 1 2; do wait_for "logged $r '\"name\":\"worker-seen\",\"worker\":\"w-9-'" && echo "router $r: follows the list"; done
kill -KILL $router_1 $router_2
sleep 1
start_router 1 a
start_router 2 b
for r in 1 2; do wait_for "ready $r" && echo "router $r: ready"; done
wait_for served_once && echo "after a start: served"
start_router 3 a
wait_for "ready 3" && wait_for "served_by $(router 3)" && echo "a router that joins: served"
