# Guards against answers without end to many requests at once, or to callers that read
# slowly, which a router keeps until it is out of memory.
. edge/lib.sh
start_cut_off 1
# memory NAME: compares the most memory used since the last time with the bound.
memory() {
	kb=$(awk '/VmHWM/ { print $2 }' /proc/$router_1/status)
	[ "${kb:-9999999}" -lt 200000 ] && echo "$1: memory in bounds" || echo "$1: memory $kb KB"
	echo 5 >/proc/$router_1/clear_refs
}
cut_off slow-body 1
"$build/tool_calls" -k br body 0.5 500 $(router 1) >"$dir/got"
echo "body: whole $(grep -c ' 200 whole' "$dir/got"), false refusals $(grep -c ' [45][02][389] .*whole.* ran' "$dir/got")"
memory body
cut_off pass 1
wait_for "served_by $(router 1)"
cut_off slow-events 1
readers=""
for n in $(seq 16); do
	curl -s -m 7 --limit-rate 1k -o "$dir/null" -H 'Host: h.example' -H "Attempt-Id: slow-$n" \
		-H 'Authorization: Token key-1' -H 'Token-Count: 100,20' "http://$(router 1)/s/x" &
	readers="$readers $!"
done
wait $readers
memory events
cut_off pass 1
wait_for "served_by $(router 1)"
kill -0 $router_1 && echo "the router goes on"
