# Guards against entries of another writer whose id or address puts fields, or a request of its
# own, into what routers send to a worker.
. edge/lib.sh
start_store
put_config 1
# A worker that is not listed, at the address of the entries, counts what it is sent.
"$build/fake_worker" 127.0.0.1:$((base + 9)) $(worker 2) w-2 app a >"$dir/worker.2.log" 2>"$dir/null" &
pids="$pids $!"
# entry ID ADDRESS: a sound entry but for the two.
entry() {
	curl -s -X POST "http://$store/stand-in/put?Key=servers/$1" -d '{"Service":"app","Address":"'"$2"'",
	"Zone":"a","Version":"v1","Slots":4,"State":"ready","ColdRemainingMs":0,"Sequence":1}'
}
start_router 1 a
wait_for "logged 1 configuration-taken"
entry 'x%0D%0ATenant:%20other' "$(worker 2)"
entry 'x-address' "$(worker 2)\\r\\n\\r\\nGET /x HTTP/1.1\\r\\n"
wait_for 'logged 1 "worker-unread.*Tenant: other: key"' && echo "the id is logged"
wait_for 'logged 1 "worker-unread.*x-address: Address"' && echo "the address is logged"
for n in 1 2 3 4 5; do ask 1 look-$n r/x; done | sort | uniq -c | awk '{ print $1 " times " $2 }'
echo "requests sent to their address: $(grep -c '^GOT\|^REFUSED\|^MESSAGE' "$dir/worker.2.log")"
