# An engine in the middle of chains stops answering.  All its streams would read
# their prompts again through the one worker that holds the same layers, if each
# were repaired in place, and the last of them would pause for too long.  Where
# the route allows a second run they begin anew on another chain, as far as the
# budget of second sends goes.
. edge/lib.sh
start_halves
stop_second_half repair
logged 1 '"request-again".*"why":"on a suspected worker"' && echo "streams began anew"
grep -q '^REPATH' "$dir"/worker.*.log || echo "none was repaired"
verify 0.8
