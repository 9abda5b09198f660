# Guards against routers that learn nothing while the store rejects others: the first
# eight of 24 of a data centre, by a reset, by silence, or by no connection, each time
# with a worker that begins to drain right after.
. edge/lib.sh
ip() { echo 127.0.1.$1; }
mkfifo "$dir/proxy"
"$build/tool_proxy" 127.0.0.1:$((base + 1)) $store <>"$dir/proxy" 2>/dev/null &
pids="$pids $!"
start_store
put_config 1
for n in 1 2 3 4 5; do start_worker $n app a; done
others=""
for n in $(seq 24); do
	seen=$store mbps=1500
	[ $n -le 8 ] && seen=127.0.0.1:$((base + 1)) mbps=2000
	cat >"$dir/router.$n.json" <<-JSON
	{"instance":"r-$n","data_centre":"a","address":"$(ip $n)",
	"callers":"$(ip $n):$((base + 60))","readiness":"$(ip $n):$((base + 70))",
	"peer_port":$((base + 80)),"metrics_port":$((base + 90)),
	"store":"$seen","store_lease_ms_min":1000,"first_start":true,
	"stop_s":8,"config_apply_ms":2000,"drain_ms":2000,"keys_stale_ms":5000,
	"keys_fail_closed":true,"retry_ratio":0.2,"retry_window_s":10,
	"retry_slack":200,"stall_ms":3000,"open_files":1000,"link_mbps":$mbps}
	JSON
	MAGNOLIARAIL_NODE_FILE="$dir/router.$n.json" "$build/magnolia-edge" >>"$dir/router.$n.log" 2>&1 &
	pids="$pids $!"
	others="$others $(ip $n):$((base + 60))"
done
for n in $(seq 24); do
	wait_for "curl -s -o $dir/null -f http://$(ip $n):$((base + 70))/ready"
done
sleep 3
for mode in sever hang refuse; do
	# tool_calls takes sixteen addresses at the most.
	"$build/tool_calls" -k br $mode-a 8 60 $(echo $others | cut -d' ' -f1-12) >"$dir/calls.$mode.a" &
	calls=$!
	"$build/tool_calls" -k br $mode-b 8 60 $(echo $others | cut -d' ' -f13-24) >"$dir/calls.$mode.b" &
	more=$!
	sleep 1.5
	worker=$(for n in 1 2 3 4 5; do echo "$(grep -c "^GOT .* $mode-" "$dir/worker.$n.log") $n"; done | sort -n | tail -n 1 | cut -d' ' -f2)
	# Open connections do not end by a refusal of new ones.
	[ $mode = refuse ] && echo sever >"$dir/proxy" && sleep 0.05
	echo $mode >"$dir/proxy"
	sleep 0.1
	curl -s -o "$dir/null" "http://$(worker $worker)/stand-in/drain"
	wait_for "curl -s 'http://$store/api/kv-range?PathPrefix=servers/w-$worker-' | sed -n 's/.*\"Value\": *\"\\([^\"]*\\)\".*/\\1/p' | base64 -d | grep -q draining"
	left=$(awk '{ printf "%.0f", $1 * 1e6 }' /proc/uptime)
	wait $calls $more
	echo pass >"$dir/proxy"
	awk -v t=$left '$1 == "GOT" && $3 > t + 2e6 { late++ } $1 == "GOT" && $3 > t { last = ($3 - t) / 1e6 }
		END { printf "last one after %.2f s\n", last >"/dev/stderr"; print late + 0, "later than two seconds" }' "$dir/worker.$worker.log" | sed "s/^/$mode: /"
	sleep 4
done
verify 0.98
