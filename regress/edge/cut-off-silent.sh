# Guards against a router that takes connections for a path to the workers: they open,
# also new ones, but nothing that is written arrives.  Streams, lookups and bookings are
# served by its peers from 3 s on.
. edge/lib.sh
start_cut_off 4
cut_off silent 1
for kind in s r b; do
	"$build/tool_calls" -d -k $kind cut-$kind 8 20 $(router 1) >"$dir/calls.$kind" &
	calls="$calls $!"
done
"$build/tool_calls" -d other 8 60 $(routers_of 2 3 4) >"$dir/calls.other"
wait $calls
# From 3 s on, 99 of 100.
for kind in s r b other; do
	awk -v kind=$kind 'NR == 1 || $8 < first { first = $8 } { at[NR] = $8; ok[NR] = $4 == 200 && $5 == "whole" }
		END {
			for (i = 1; i <= NR; i++) if (at[i] > first + 3e6) { calls++; served += ok[i] }
			print kind ": " served " of " calls >"/dev/stderr"
			print kind ": " (served * 100 >= calls * 99 - 99 ? "served" : served " of " calls) }' "$dir/calls.$kind"
done
