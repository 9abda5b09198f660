# Guards against a router that serves less of what it reads while most new connections
# of its data centre come to it: 9 of 10, twice as many, for 9 s; then to another one.
. edge/lib.sh
start_centre 4 2 4
for n in 5 6; do name_limit $n 60; done
"$build/tool_calls" -d before 5 80 $routers >"$dir/calls.before"
for r in 1 2; do
	"$build/tool_calls" -d most$r 9 144 $(router $r) >"$dir/calls.most$r" &
	calls=$!
	"$build/tool_calls" -d rest$r 9 16 $routers >"$dir/calls.rest$r"
	wait $calls
done
# share FILE: served at the first attempt, in percent, of what was sent after 3 s.
share() {
	awk 'NR == 1 || $8 < first { first = $8 } { at[NR] = $8; ok[NR] = $4 == 200 && $5 == "whole" }
		END { for (i = 1; i <= NR; i++) if (at[i] > first + 3e6) { calls++; served += ok[i] }
			print calls ? int(100 * served / calls) : 0 }' "$1"
}
before=$(share "$dir/calls.before")
for r in 1 2; do
	most=$(share "$dir/calls.most$r")
	echo "before $before, router $r $most, rest $(share "$dir/calls.rest$r")" >&2
	[ $((most * 4)) -ge $((before * 3)) ] && [ "$before" -ge 95 ] && echo "router $r: three quarters are served"
done
verify 0.75
