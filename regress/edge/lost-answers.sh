# A plain worker runs requests and closes the connection without an answer.  A
# booking may have run: it is not sent again, and its caller is not told that it
# did not run.  A look-up is sent to the other worker.
. edge/lib.sh
start_platform
curl -s -o "$dir/null" "http://$(worker 7)/stand-in/lose"
"$build/tool_calls" lost 4 40 $(router 1) $(router 2) >"$dir/calls"
awk '$3 == "r" && $4 != 200 {bad++} $3 == "b" && $4 == 503 {untrue++} END {print "look-ups failed: " bad + 0; print "bookings refused: " untrue + 0}' "$dir/calls"
verify 0.3
