# The caller of a request that crashes workers leaves before the crash, each time.
# The request must be blamed all the same.
. edge/lib.sh
start_four 1
for n in 1 2 3; do
	curl -s -m 0.03 -o "$dir/null" -H 'Host: h.example' -H "Attempt-Id: p$n" \
		-H 'Authorization: Token key-1' -H 'Token-Count: 100,20' \
		"http://$(router 1)/s/poison"
	"$build/tool_calls" -d look$n 0.8 80 $(router 1) >"$dir/calls.$n"
done
wait_for "logged 1 request-quarantined" && echo "quarantined"
grep -h '"request-quarantined"' "$dir/router.1.log" | grep -c .
