# Guards against requests that wait for a plain worker which takes connections and answers
# nothing, while another one does: nobody waits for it from 1 s on.
. edge/lib.sh
start_twins 2
for kind in r b; do
	"$build/tool_calls" -d -k $kind stop-$kind 6 20 $routers >"$dir/calls.$kind" &
	calls="$calls $!"
done
kill -STOP $worker_3
wait $calls
for kind in r b; do
	awk -v kind=$kind 'NR == 1 || $8 < first { first = $8 } { at[NR] = $8; ok[NR] = $4 == 200 }
		END {
			for (i = 1; i <= NR; i++) if (at[i] > first + 1e6) { calls++; served += ok[i] }
			print kind ": " served " of " calls >"/dev/stderr"
			print kind ": " (served * 100 >= calls * 99 - 99 ? "served" : served " of " calls) }' "$dir/calls.$kind"
done
