# An engine names a limit for some seconds and then no longer does.  A limit that
# is remembered would keep a sound worker idle.
. edge/lib.sh
start_store
put_config 1
for n in 1 2; do start_worker $n model a big; done
for n in 3 4; do start_worker $n app a; done
for n in 1 2; do start_router $n a; done
for n in 1 2; do wait_for "ready $n"; done
wait_for "[ \$(cat $dir/worker.*.log | grep -c ^ORDER) -ge 2 ]"
wait_for "served_by $(router 1) $(router 2)"
name_limit 1 2
"$build/tool_calls" limited 6 60 $(router 1) $(router 2) >"$dir/calls"
few=$(grep -c '^GOT.*limited-' "$dir/worker.1.log")
name_limit 1
"$build/tool_calls" after 8 60 $(router 1) $(router 2) >>"$dir/calls"
many=$(grep -c '^GOT.*after-' "$dir/worker.1.log")
[ $many -gt $((few * 3)) ] && echo "the worker is used again"
limits
verify 0.95
