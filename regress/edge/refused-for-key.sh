# Guards against requests that are refused for another reason than a lack of capacity
# and count as such: callers without a valid key would put a route below the floor, and
# a route below it passes more urgent ones.
. edge/lib.sh
export PRIORITIES=1
start_twins 1
"$build/tool_calls" -k s -t key-none unknown 1 50 $(router 1) >"$dir/calls"
cut -d' ' -f3,4,5 "$dir/calls" | sort -u
curl -s "http://127.0.0.1:$((base + 91))/metrics" | awk '
	/^magnolia_urgency_refused_total/ { refused += $2; lines++ }
	END { print "refused for lack of capacity: " (lines ? refused : "not measured") }'
