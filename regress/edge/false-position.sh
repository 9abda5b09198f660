# Guards against a router that starts its watch of the store again and again, for good,
# since a peer reported a position that the store has not reached.
. edge/lib.sh
start_store
put_config 1
start_worker 1 app a
for n in 1 2 3; do start_router $n a; done
for n in 1 2 3; do wait_for "ready $n"; done
sleep 2
# watches: prints how many watches of the store begin in 8 s.
watches() {
	first=$(grep -c '^WATCH' "$dir/store.log")
	sleep 8
	echo $(($(grep -c '^WATCH' "$dir/store.log") - first))
}
before=$(watches)
"$build/tool_hint" $((base + 81)) 1 0 r-9 era=1 revision=4611686027017322497
after=$(watches)
[ $after -le $((before + 4)) ] && echo "no more watches" || echo "watches: $before, then $after"
