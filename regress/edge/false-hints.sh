# Guards against look-ups refused for good after false limits, suspicions, demand, data or clocks of peers.
. edge/lib.sh
start_store
put_config 1
# All routers share the limits of these workers, as there is none in their data centre.
for n in 1 2; do
	WORKER_ID=w-$n
	start_worker $n app b
done
for n in 1 2 3; do start_router $n a; done
for n in 1 2 3; do wait_for "ready $n"; done
# report NAMES FIELD=VALUE...: reports to all routers, ten times a second for 2 s.
report() {
	reports=""
	for n in 1 2 3; do
		"$build/tool_hint" $((base + 80 + n)) 20 100000 "$@" &
		reports="$reports $!"
	done
	wait $reports
}
# lookups SECONDS [KEY]: sends the routers 30 look-ups a second.
lookups() {
	"$build/tool_calls" -k r -t ${2:-key-1} l$(date +%N) $1 30 $(router 1) $(router 2) $(router 3) >"$dir/calls"
	cat "$dir/calls" >>"$dir/all-calls"
}
# served: prints how many of the calls were served.
served() {
	ok=$(grep -c ' 200 whole' "$dir/calls")
	calls=$(grep -c . "$dir/calls")
	[ $ok -eq $calls ] && [ $calls -ge 25 ] && echo all || echo "$ok of $calls"
}
# some: the same, in words that hold in each run.
some() {
	echo "meanwhile served $(served)" >&2
	grep -q ' 200 whole' "$dir/calls" && echo some || echo none
}
# falsely SECONDS FIELD=VALUE...: one peer reports this, then most do; then they are
# silent for so long.
falsely() {
	silent=$1
	shift
	lookups 4 &
	calling=$!
	report r-9 "$@"
	report r-1,r-2,r-3,r-7,r-8,r-9 "$@"
	sleep $silent
	wait $calling
}
lookups 1
echo "before: served $(served)"
falsely 9 limit=w-1 limit=w-2
echo "false limits: served $(served)" >&2
lookups 1
echo "after false limits: served $(served)"
falsely 4 suspect=w-1 suspect=w-2
echo "false suspicions: served $(some)"
lookups 1
echo "after them: served $(served)"
# Data of others is sought while the store is silent.
fault silent
put_config 2 '"key-1","key-2"'
(sleep 3; fault none) &
falsely 3 ready=3 session=4294967295 sent_us=9223372036854775807
echo "false data and clocks: served $(some)"
lookups 1 key-2
echo "after them, a configuration that came meanwhile: served $(served)"
for n in 1 2; do name_limit $n 200; done
falsely 11 demand=4294967295
echo "false demand: served $(some)"
lookups 4 key-2
echo "after it: served $(served)"
for n in 1 2 3; do ready $n && echo "router $n is ready"; done
