# All engines with some layers stop for a second, and the first workers of the
# waiting streams are probed.  The connections of these probes are reset, as
# links and workers reset idle ones.  If the resets were taken for deaths,
# streams would be moved off healthy workers and run once more than their route
# allows.
. edge/lib.sh
start_halves
"$build/tool_calls" drop 6 30 $(router 1) >"$dir/calls" &
calls=$!
sleep 2
for n in 1 2 3 4; do
	if grep -q '^ORDER.* 10-20' "$dir/worker.$n.log"; then
		stopped="$stopped $n"
	else
		curl -s -o "$dir/null" "http://$(worker $n)/stand-in/drop"
	fi
done
for n in $stopped; do eval "kill -STOP \$worker_$n"; done
sleep 1
for n in $stopped; do eval "kill -CONT \$worker_$n"; done
wait $calls
# Worker ids are w-NUMBER-...; those that were stopped may be suspected.
not_stopped=$(echo $stopped | sed 's/ /|/g; s/.*/"worker":"w-(&)-/')
grep '"name":"worker-suspected"' "$dir/router.1.log" |
	grep -vE "$not_stopped" || echo "no sound worker was suspected"
verify 0.3
