# An engine in the middle of chains stops answering.  All its streams would read
# their prompts again through the one worker that holds the same layers, if each
# were repaired in place, and the last of them would pause for too long.  Where
# the route allows a second run they begin anew on another chain, as far as the
# budget of second sends goes.
. edge/lib.sh
start_halves
"$build/tool_calls" mend 6 30 $(router 1) >"$dir/calls" &
calls=$!
# Two engines hold the second half of the layers; one of them stops.
sleep 2
for n in 1 2 3 4; do
	grep -q '^ORDER.* 10-20' "$dir/worker.$n.log" && break
done
eval "kill -STOP \$worker_$n"
wait $calls
logged 1 '"request-again".*"why":"on a suspected worker"' && echo "streams began anew"
grep -q '^REPATH' "$dir"/worker.*.log || echo "none was repaired"
verify 0.8
