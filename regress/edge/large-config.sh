# Of nine routers one follows the store and the others learn of changes from it.  One
# of 10,000 routes changes five times, and a worker leaves: what routers send each
# other follows what has changed, not the size of the configuration.
. edge/lib.sh
routes() {
	awk -v n=$1 -v ms=$2 'BEGIN { for (i = 0; i < n; i++)
		printf "%s{\"Name\":\"r-%d\",\"Host\":\"h%d.example\",\"PathPrefix\":\"/r/\",\"Kind\":\"idempotent\",\"TimeoutMs\":%d,\"TargetLatencyMs\":500,\"MaxAttempts\":2,\"Service\":\"app\"}",
			i ? "," : "", i, i, i == 9 ? ms : 3000 }'
}
start_store
ROUTES=$(routes 10000 3000)
put_config 1
for n in 1 2; do start_worker $n app a; done
for n in 1 2 3 4 5 6 7 8 9; do start_router $n $(echo a b c | cut -d' ' -f$((n % 3 + 1))); done
for n in 1 2 3 4 5 6 7 8 9; do wait_for "ready $n"; done
sent() {
	for n in 1 2 3 4 5 6 7 8 9; do
		curl -s "http://127.0.0.1:$((base + 90 + n))/metrics"
	done | awk '/^magnolia_tree_sent_bytes_total/ { n += $2 } END { printf "%d", n / 1000 }'
}
all_have() {
	for n in 1 2 3 4 5 6 7 8 9; do
		logged $n "configuration-taken\",\"version\":$1" || return 1
	done
}
wait_for "all_have 1" && echo "all have version 1"
before=$(sent)
for version in 2 3 4 5 6; do
	ROUTES=$(routes 10000 $((3000 + version)))
	put_config $version
	wait_for "all_have $version" && echo "all have version $version"
done
kill -TERM $worker_1
wait_for "[ \$(in_store servers/) = 1 ]"
sleep 1
kb=$(($(sent) - before))
[ $kb -lt 1000 ] && echo "sent: in bounds" || echo "sent: $kb KB"
code() {
	curl -s -o "$dir/null" -w '%{http_code}' -H "Host: h$1.example" -H "Authorization: Token key-1" \
		-H "Attempt-Id: a-$1-$2" -H "Deadline-Ms: 3000" "http://$(router $2)/r/x"
}
for n in 1 5 9; do echo "answers of router $n: $(code 9 $n) $(code 9999 $n) $(code 10000 $n)"; done
# One route goes, one of another service comes, and the number stays.
ROUTES=$(routes 9999 3006),'{"Name":"new","Host":"h10000.example","PathPrefix":"/r/","Kind":"idempotent","TimeoutMs":3000,"Service":"app"}'
put_config 7
wait_for "all_have 7" && echo "all have version 7"
for n in 1 5 9; do echo "answers of router $n: $(code 9 $n) $(code 9999 $n) $(code 10000 $n)"; done
grep -c "changes-rejected\|configuration-bad" "$dir"/router.*.log | grep -v ':0$'
