# An engine crashes and starts again, empty, under another name.  It gets the
# layers that are missing, and the data centre has a whole copy again.
. edge/lib.sh
start_platform
kill -KILL $worker_2
sleep 0.3
: >"$dir/worker.2.log"
start_worker 2 model a small
wait_for "grep -q ^ORDER $dir/worker.2.log" && echo "layers ordered"
"$build/tool_calls" again 3 30 $(router 1) $(router 2) >"$dir/calls"
verify 0.8
