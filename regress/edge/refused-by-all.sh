# Guards against requests that wait for, and are forwarded because of, workers which have
# all refused them: no router can serve them, and their callers should hear it at once.
. edge/lib.sh
start_cut_off 3
cut_off sever 1
"$build/tool_calls" cut 2 30 $(router 1) >"$dir/calls"
for n in 3 4; do curl -s -o "$dir/null" "http://$(worker $n)/stand-in/full"; done
"$build/tool_calls" -d -k r refused 2 10 $(router 1) $(router 2) >"$dir/calls"
logged 2 '"why":"all workers refused it"' && echo "refused where the workers are reached"
# Ends that came after a wait, which is half of the route's objective.
cat "$dir"/router.*.log | awk '
	/"name":"request-forwarded".*"request":"refused/ { forwards++; twice += /"forward":2/ }
	/"name":"request-ended".*"request":"refused.*"why":"no worker"/ { waited++ }
	END {
		print "forwarded: " (forwards > 0 ? "yes" : "no")
		print "forwarded again: " twice + 0
		print "waited for a worker: " waited + 0
	}'
awk '$4 == 503 { refused++ } END { print "refused: " (refused * 10 >= NR * 9 ? "all" : refused " of " NR) }' "$dir/calls"
