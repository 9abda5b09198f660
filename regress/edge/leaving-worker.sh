# A plain worker reports that it is leaving.  It receives nothing new, and no
# caller is affected.
. edge/lib.sh
start_platform
"$build/tool_calls" leave 5 40 $(router 1) $(router 2) >"$dir/calls" &
calls=$!
sleep 1
curl -s -o "$dir/null" "http://$(worker 7)/stand-in/drain"
wait_for "logged 1 worker-leaving" && wait_for "logged 2 worker-leaving"
sed -n '$=' "$dir/worker.7.log" >"$dir/before"
wait $calls
sed -n '$=' "$dir/worker.7.log" | diff - "$dir/before" >/dev/null && echo "nothing new to the leaving worker"
verify 0.8
