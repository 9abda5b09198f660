# Guards against a page of the store's list that is refused, repeated or empty for good:
# routers that ask for it without a pause, or that have no configuration although they read it.
. edge/lib.sh
start_store
put_config 1
for n in 1 2 3; do WORKER_ID=w-$n; start_worker $n app a; done
WORKER_ID=w-4; start_worker 4 model a big
start_router 1 a
wait_for "ready 1" && wait_for "served_by $(router 1)" || exit
pages() { curl -s "http://$store/stand-in/pages?Items=1&$1"; }
version=1
for kind in refused repeated empty; do
	pages "Key=servers/w-2&Kind=$kind"
	kill -KILL $router_1
	lines=$(wc -l <"$dir/store.log")
	: >"$dir/router.1.log"
	start_router 1 a
	wait_for "ready 1" && echo "$kind: ready"
	wait_for 'logged 1 "store-list-unfinished.*\"after\":\"servers/w-2\""' && echo "$kind: logged"
	[ "$(ask 1 look-$kind r/x)" = 200 ] && echo "$kind: served by a worker before the page"
	version=$((version + 1))
	put_config $version
	wait_for "logged 1 '\"name\":\"configuration-taken\",\"version\":$version'" && echo "$kind: follows the configuration"
	WORKER_ID=w-9-$kind; start_worker 9 app a
	wait_for "logged 1 '\"name\":\"worker-seen\",\"worker\":\"w-9-$kind\"'" && echo "$kind: follows the list"
	[ "$(tail -n +$lines "$dir/store.log" | grep -c '^RANGE')" -lt 500 ] && echo "$kind: with few calls"
	pages
	wait_for 'logged 1 "\"name\":\"worker-seen\",\"worker\":\"w-3\""' && echo "$kind: the rest is read later"
	kill $worker_9
done
# A page that the store is too busy for is asked for again, not the pages before it.
pages "Key=servers/w-2&Kind=busy"
kill -KILL $router_1
lines=$(wc -l <"$dir/store.log")
start_router 1 a
wait_for '[ $(tail -n +$lines "$dir/store.log" | grep -c "^BUSY servers/w-2") -ge 4 ]'
pages
wait_for "ready 1" && echo "busy: ready"
echo "busy: first pages read: $(tail -n +$((lines + 1)) "$dir/store.log" | grep -c '^RANGE  after : ')"
