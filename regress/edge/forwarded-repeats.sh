# Guards against repeats that no router counts: a router that is cut off forwards requests
# to two peers in turn, and workers that refuse them get more sends than the peers took
# from their budgets, some of them of requests that they have refused before.
. edge/lib.sh
start_cut_off 3
cut_off sever 1
"$build/tool_calls" cut 2 30 $(router 1) >"$dir/calls"
for n in 1 2 3 4; do curl -s -o "$dir/null" "http://$(worker $n)/stand-in/full"; done
repeats() {
	for r in 1 2 3; do curl -s "http://127.0.0.1:$((base + 90 + r))/metrics"; done |
		awk '$1 == "magnolia_repeats_total" { n += $2 } END { print n + 0 }'
}
before=$(repeats)
"$build/tool_calls" -d -k sr refused 3 10 $(router 1) >"$dir/calls"
after=$(repeats)
sleep 0.2
logged 1 '"name":"request-forwarded"' && echo "forwarded"
grep -h '^GOT' "$dir"/worker.*.log | grep ' refused' | awk -v counted=$((after - before)) '
	seen[$4]++ { again++ }
	pair[$2, $4]++ { anew++ }
	END {
		print NR " arrivals, " again " beyond the first, " counted " counted" >"/dev/stderr"
		print "repeats that no router counted: " again - counted
		print "arrivals at a worker that had refused the request: " anew + 0
	}'
awk '$4 == 503 { refused++ } END { print "refused: " (refused * 10 >= NR * 9 ? "all" : refused " of " NR) }' "$dir/calls"
