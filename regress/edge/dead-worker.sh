# Guards against one death that counts as several: a worker that stays dead was told
# dead at each probe, so that a few such workers passed for a common cause.
. edge/lib.sh
start_twins 1
"$build/tool_calls" -d run 6 40 $routers >"$dir/calls" &
calls=$!
sleep 1
# The store goes on listing the worker.
fault silent
kill -KILL $worker_1
wait $calls
echo "deaths without a request: $(grep '"worker-died"' "$dir/router.1.log" | grep -c '"candidates":0,')"
