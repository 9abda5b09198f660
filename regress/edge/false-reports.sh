# Guards against routers that believe for good what a peer reports and the store does
# not have: a newer configuration, or a later position of the store.
. edge/lib.sh
start_store
put_config 1
start_worker 1 app a
start_worker 2 app a
for n in 1 2 3; do start_router $n a; done
for n in 1 2 3; do wait_for "ready $n"; done
# report COUNT NAMES FIELD=VALUE...: reports to all routers, ten times a second.
report() {
	count=$1
	peers=$2
	shift 2
	for n in 1 2 3; do
		"$build/tool_hint" $((base + 80 + n)) $count 100000 $peers "$@" &
	done
}
# lookups SECONDS: sends the routers 30 look-ups a second; prints how many are served.
lookups() {
	"$build/tool_calls" -k r lookups$(date +%N) $1 30 $(router 1) $(router 2) $(router 3) >"$dir/calls"
	served
}
# served: prints how many of the calls were served.
served() {
	ok=$(grep -c ' 200 whole' "$dir/calls")
	calls=$(grep -c . "$dir/calls")
	[ $ok -eq $calls ] && [ $calls -ge 25 ] && echo all || echo "$ok of $calls"
}
# refuted FIELD WHY: prints how many routers say that they do not believe it.
refuted() {
	for n in 1 2 3; do logged $n '"event":10602.*"field":"'$1'".*"why":"'"$2"'"' && echo $n; done | grep -c .
}
echo "before: served $(lookups 1)"
report 1 r-9 version=4611686027017322497
echo "a version, once: served $(lookups 4)"
report 40 r-9 version=4611686027017322498
echo "a version, again and again: served $(lookups 4), refuted by $(refuted version "read later")"
report 40 r-2,r-7,r-8,r-9 version=4611686027017322499 version_era=3
echo "a version, of most peers: served $(lookups 4)"
report 40 r-9 era=1 revision=4611686027017322497
echo "a position: served $(lookups 4), refuted by $(refuted position "read later")"
report 40 r-7,r-9 revision=5 era=7
echo "a position after a restore: served $(lookups 4)"
# What one peer says of an earlier era, the store cannot refute; it is given up.
report 80 r-9 version=4611686027017322500 version_era=0
sleep 6
echo "a version of an earlier era, of one peer: served $(lookups 2), refuted by $(refuted version unconfirmed)"
for n in 1 2 3; do ready $n && echo "router $n is ready"; done
# A true newer version is in force in time, beside false reports.
report 20 r-9 version=4611686027017322500 era=1 revision=4611686027017322500
put_config 2 '"key-1","key-2"'
sleep 2
"$build/tool_calls" -k r -t key-2 new 1 30 $(router 1) $(router 2) $(router 3) >"$dir/calls"
echo "the new configuration: served $(served)"
"$build/tool_hint" $((base + 81)) 1 0 r-1 demand=4294967295
wait_for "curl -s http://127.0.0.1:$((base + 91))/metrics | grep -q 'dropped_total{why=.own name.} 1'" && echo "no router hears itself"
