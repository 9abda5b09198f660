# An engine states a rate limit for some seconds and then no longer does.  A
# limit that did not end would leave a healthy worker idle.
. edge/lib.sh
start_twins 2
name_limit 1 2
"$build/tool_calls" limited 6 60 $routers >"$dir/calls"
few=$(grep -c '^GOT.*limited-' "$dir/worker.1.log")
name_limit 1
"$build/tool_calls" after 8 60 $routers >>"$dir/calls"
many=$(grep -c '^GOT.*after-' "$dir/worker.1.log")
[ $many -gt $((few * 3)) ] && echo "the worker is used again"
limits
verify 0.95
