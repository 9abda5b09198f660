# Guards against a router that ends, or sends a request without its body, when there is
# no memory for a long body.
. edge/lib.sh
BODY_BYTES=4194304
start_twins 1
head -c 4000000 /dev/zero >"$dir/body"
for mb in 1 2 3 4 5 6 7 8 9 10 12; do
	kb=$(awk '/VmSize/ { print $2 }' /proc/$router_1/status)
	prlimit --as=$(((kb + mb * 1024) * 1024)): --pid $router_1
	curl -s -m 8 -o "$dir/null" -w '%{http_code}\n' -H 'Host: h.example' -H "Attempt-Id: long-$mb" \
		-H 'Authorization: Token key-1' -H 'Token-Count: 100,20' -H 'Expect:' \
		--data-binary "@$dir/body" "http://$(router 1)/r/x" >>"$dir/statuses"
	prlimit --as=unlimited: --pid $router_1
done 2>"$dir/null"
sort "$dir/statuses" | uniq -c >&2
echo "neither served nor refused: $(grep -cv '200\|503' "$dir/statuses")"
kill -0 $router_1 && echo "the router goes on"
served_by $(router 1) && echo "served afterwards"
