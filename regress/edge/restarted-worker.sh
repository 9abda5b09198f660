# An engine crashes and starts again without layers and under another id.  It
# receives the missing layers, so that the data centre holds all of them again.
. edge/lib.sh
start_platform
kill -KILL $worker_2
sleep 0.3
: >"$dir/worker.2.log"
start_worker 2 model a small
wait_for "grep -q ^ORDER $dir/worker.2.log" && echo "layers ordered"
"$build/tool_calls" again 3 30 $(router 1) $(router 2) >"$dir/calls"
verify 0.8
