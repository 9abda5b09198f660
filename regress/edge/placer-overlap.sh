# Guards against layers that nobody places, or that two processes place at once, when the
# placer is stopped, or killed, and the next process of its instance is started at once.
. edge/lib.sh
placer() { curl -s "http://$store/api/kv-range?PathPrefix=mag/placer" | sed -n 's/.*"Value":"\([^"]*\)".*/\1/p' | base64 -d 2>"$dir/null" | grep -ao "r-[12]" | head -n 1; }
# replace NUMBER: kills an engine and starts another one, which must get its layers.
replace() {
	orders=$(grep -c ^ORDER "$dir/worker.$1.log")
	eval "kill -KILL \$worker_$1"
	start_worker $1 model a small
	wait_for "[ \$(grep -c ^ORDER $dir/worker.$1.log) -gt $orders ]" && echo "the new engine has layers"
}
start_store
put_config 1
for n in 1 2 3 4; do start_worker $n model a small; done
start_worker 5 app a
start_router 1 a
start_router 2 a
wait_for "ready 1" && wait_for "ready 2"
wait_for '[ $(cat "$dir"/worker.*.log | grep -c ^ORDER) -ge 4 ]'
wait_for "served_by $(router 1) $(router 2)"
"$build/tool_calls" placer 12 30 $(router 1) $(router 2) >"$dir/calls" &
calls=$!
worker=0
for signal in TERM KILL; do
	wait_for '[ -n "$(placer)" ]' || exit 1
	n=$(placer)
	n=${n#r-}
	eval "old=\$router_$n"
	echo "$signal"
	echo "$signal: placer r-$n, process $old" >&2
	kill -$signal $old
	run_router $n
	worker=$((worker + 1))
	replace $worker
	wait $old 2>"$dir/null"
	echo "the one before: status $?"
	wait_for "ready $n" && echo "the next one is ready"
	wait_for '[ -n "$(placer)" ]' && echo "one router is the placer"
	echo "$signal: now $(placer)" >&2
done
# The role may have come to rest since: a further engine.
replace 3
wait $calls
# An engine of this kind holds 10 layers, and gives none up that it has.
cat "$dir"/worker.*.log | awk '
	$1 == "ORDER" {
		split($3, range, "-")
		if (range[2] - range[1] > 10) over++
		if ($2 in from && (range[1] > from[$2] || range[2] < to[$2])) fewer++
		from[$2] = range[1]
		to[$2] = range[2]
		orders++
	}
	END {
		print "orders: " orders >"/dev/stderr"
		print "over what they hold: " over + 0 ", layers given up: " fewer + 0
	}'
wait_for "served_by $(router 1) $(router 2)" && echo "both serve"
verify 0.3
