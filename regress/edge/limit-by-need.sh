# Guards against a part of a worker's limit that stays unused because it is divided by
# all callers of the routers: those of the limited service come to two of four.
. edge/lib.sh
start_centre 4 2 4
"$build/tool_calls" -d -k s streams 34 120 $routers >"$dir/calls.streams" &
streams=$!
for limit in 10 25; do
	for n in 5 6; do name_limit $n $limit; done
	"$build/tool_calls" -d -k br plain$limit 16 40 $(router 1) $(router 2) >"$dir/calls.plain$limit"
	# The limits bear 2 x $limit a second.
	awk -v limit=$limit 'NR == 1 || $8 < first { first = $8 } { at[NR] = $8; ok[NR] = $4 == 200 }
		END {
			for (i = 1; i <= NR; i++) if (at[i] > first + 4e6) { calls++; served += ok[i] }
			bear = 24 * limit < calls ? 24 * limit : calls
			print "limits " limit ": " served " of " bear >"/dev/stderr"
			print "limits " limit ": " (served >= 0.9 * bear ? "used" : served " of " bear) }' "$dir/calls.plain$limit"
done
wait $streams
limits
