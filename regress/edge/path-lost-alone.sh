# Guards against a router's loss of its own path to the store that is taken over by those
# that follow it: a worker whose entry is removed meanwhile, or right after, must get
# nothing new from the eight others later than two seconds after that.
. edge/lib.sh
REPORT_MS=1200
# The routers' names decide which one follows the store.
root=4
follows() { curl -s -m 1 "http://127.0.0.1:$((base + 90 + $1))/metrics" | grep -q 'magnolia_tree_follows_store 1'; }
followers() { for n in 1 2 3 4 5 6 7 8 9; do follows $n && echo $n; done | tr -d '\n'; }
# start_behind_proxy NUMBER: a worker with a path of its own to the store.
start_behind_proxy() {
	mkfifo "$dir/proxy.$1"
	"$build/tool_proxy" 127.0.0.1:$((base + 30 + $1)) $store <>"$dir/proxy.$1" 2>/dev/null &
	pids="$pids $!"
	real=$store
	store=127.0.0.1:$((base + 30 + $1))
	WORKER_ID=w-$1 start_worker $1 app c
	store=$real
}
mkfifo "$dir/proxy.root"
"$build/tool_proxy" 127.0.0.1:$((base + 1)) $store <>"$dir/proxy.root" 2>/dev/null &
pids="$pids $!"
start_store
put_config 1
start_worker 2 app a
for n in 3 4 5 6 7 8 9 10 11 12; do start_behind_proxy $n; done
others=""
for n in 1 2 3 4 5 6 7 8 9; do
	STORE_SEEN=$store
	[ $n = $root ] && STORE_SEEN=127.0.0.1:$((base + 1))
	start_router $n $(echo a b c | cut -d' ' -f$((n % 3 + 1)))
	[ $n = $root ] || others="$others $(router $n)"
done
for n in 1 2 3 4 5 6 7 8 9; do wait_for "ready $n"; done
wait_for '[ "$(followers)" = $root ]'
# remove WORKER: removes its entry, while it goes on serving.
remove() {
	echo sever >"$dir/proxy.$1"
	curl -s -o "$dir/null" "http://$store/stand-in/drop?Key=servers/w-$1"
	eval "removed_$1=$(awk '{ printf "%.0f", $1 * 1e6 }' /proc/uptime)"
	sleep 0.2
}
# late WORKER: prints how many requests reached it too late.
late() {
	eval "removed=\$removed_$1"
	awk -v t=$removed '$1 == "GOT" && $3 > t + 2e6 { late++ } $1 == "GOT" && $3 > t { last = ($3 - t) / 1e6 }
		END { printf "last one after %.2f s\n", last >"/dev/stderr"; print late + 0 }' "$dir/worker.$1.log"
}
# cut_root MODE WORKER...: cuts the root off for 4.5 s; removes the first workers while
# that lasts, the last one right after.
cut_root() {
	"$build/tool_calls" -k br $1 9 120 $others >"$dir/calls.$1" &
	calls=$!
	sleep 1
	echo $1 >"$dir/proxy.root"
	sleep 1.8
	for n in $2 $3 $4 $5; do remove $n; done
	sleep 1.8
	echo pass >"$dir/proxy.root"
	sleep 0.2
	remove $6
	wait $calls
	echo "$1, later than two seconds: $(late $2) $(late $3) $(late $4) $(late $5), after the end $(late $6)"
	sleep 2
}
cut_root sever 3 4 5 6 7
wait_for '[ "$(followers)" = $root ]'
cut_root hang 8 9 10 11 12
verify 0.98
