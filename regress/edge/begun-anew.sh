# An engine in the middle of chains stops answering.  If all of its streams were
# repaired in place, all of their prompts would be read by the one other worker
# that holds the same layers, and the last stream would pause for too long.  If
# the route allows a second run, streams restart on another chain as far as the
# retry budget allows.
. edge/lib.sh
start_halves
stop_second_half repair
logged 1 '"request-again".*"why":"on a suspected worker"' && echo "streams began anew"
grep -q '^REPATH' "$dir"/worker.*.log || echo "none was repaired"
verify 0.8
