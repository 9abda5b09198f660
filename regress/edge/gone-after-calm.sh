# Guards against a calm store that is taken for an outage: a worker whose entry is deleted
# after nothing has changed for several seconds is gone at once.
. edge/lib.sh
REPORT_MS=1200
start_store
put_config 1
start_worker 1 app a
start_router 1 a
start_router 2 a
wait_for "ready 1" && wait_for "ready 2"
curl -s -X POST "http://$store/stand-in/put?Key=servers/w-calm" --data-binary \
	'{"Service":"app","Address":"'$(worker 2)'","Zone":"a","Version":"v1","Slots":4,"State":"ready","ColdRemainingMs":0,"Sequence":1}'
wait_for "logged 1 '\"worker-seen\",\"worker\":\"w-calm\"'"
kill -KILL $worker_1
sleep 6
curl -s -o "$dir/null" "http://$store/stand-in/drop?Key=servers/w-calm"
for r in 1 2; do
	wait_for "logged $r '\"worker-gone\",\"worker\":\"w-calm\"'"
	grep '"worker-gone","worker":"w-calm"' "$dir/router.$r.log" | sed 's/.*"in_ms":\([0-9]*\).*/gone in \1 ms/'
done
logged 1 updates-missed || logged 2 updates-missed || echo "no updates were missed"
