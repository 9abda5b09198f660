# Guards against requests that come late in the grace of a stopping router, are passed on
# and then cut with the process: on new connections and on kept ones.
. edge/lib.sh
FAKE_EVENT_MS=60
export FAKE_EVENT_MS
start_centre 2 2 1
"$build/tool_calls" -o kept 9 20 $(router 1) >"$dir/calls.kept" &
kept=$!
sleep 0.5
stopped_us=$(awk '{ printf "%.0f", $1 * 1e6 }' /proc/uptime)
kill -TERM $router_1
"$build/tool_calls" new 8.5 30 $(router 1) >"$dir/calls.new"
wait $kept
wait_for "logged 1 stopped" && echo "stopped"
# Of what a worker got, every caller must have a whole answer.
grep -h '^GOT' "$dir"/worker.*.log >"$dir/got"
cat "$dir"/calls.* | awk -v stopped=$stopped_us -v got="$dir/got" '
	BEGIN { while ((getline line < got) > 0) { split(line, f); at[f[4]] = f[3] } }
	$1 == "CALL" && $2 in at {
		passed++
		if ($5 != "whole") { cut++; print | "cat >&2" }
		if (at[$2] > stopped + 3.5e6) late++
	}
	$1 == "CALL" && $4 == 503 { refused++ }
	END {
		print "passed on: " (passed > 40 ? "many" : passed + 0) ", refused: " (refused > 40 ? "many" : refused + 0)
		print "cut: " cut + 0 ", passed on late: " late + 0
	}'
verify 0
