# Guards against an order that reaches the worker that has taken over an address: a small
# engine of another service, which has less memory than the crashed one whose entry is
# still listed.
. edge/lib.sh
engine() {
	echo '"HealthPath":"/healthz","MaxConnections":900,"Engine":{"Slots":64,"KvTokenBytes":590000,"Models":[{"Name":"'$1'","LoadS":1}],"step_ms":1,"per_seq_ms":0.004,"context_per_k":0.006,
	"read_per_s":160000,"usual":{"prompt":100,"answer":20},"Layers":20,"LayerMb":1750,"ActBytes":29500,"PipeMbps":19000,
	"Kinds":[{"Name":"big","Mb":72000,"pace":2.4,"ReadX":3.2},{"Name":"small","Mb":21600,"pace":16,"ReadX":8.2}]}'
}
SERVICES='{"Name":"model",'$(engine m)'},{"Name":"second",'$(engine m2)'},{"Name":"app","HealthPath":"/healthz","MaxConnections":900}'
start_store
put_config 1
for n in 1 2; do start_worker $n model a big; done
for n in 3 4; do start_worker $n second a big; done
start_worker 7 app a
start_router 1 a
start_router 2 a
wait_for "ready 1" && wait_for "ready 2"
wait_for "[ \$(cat $dir/worker.*.log | grep -c ^ORDER) -ge 4 ]"
sleep 2
WORKER_ID=w-5 start_worker 5 model a big
wait_for "logged 1 '\"worker-seen\",\"worker\":\"w-5\"'"
curl -s "http://$store/api/kv-range?PathPrefix=servers/w-5" | sed -n 's/.*"Value": *"\([^"]*\)".*/\1/p' | base64 -d >"$dir/entry"
kill -KILL $worker_5
curl -s -X POST "http://$store/stand-in/put?Key=servers/w-5&Ttl=4000" --data-binary @"$dir/entry" >"$dir/null"
sleep 0.3
"$build/fake_worker" $store $(worker 5) w-6 second a small >"$dir/worker.6.log" 2>&1 &
pids="$pids $!"
wait_for "logged 1 '\"worker-seen\",\"worker\":\"w-6\"'"
sleep 5
awk '$1 == "ORDER" { split($3, r, "-"); if (r[2] - r[1] > 12) over++ } END { print "orders beyond its memory:", over + 0 }' "$dir/worker.6.log"
cat "$dir"/router.*.log | grep -q '"worker-other","worker":"w-5"' && echo "a report of another process is told"
grep -q '^ORDER' "$dir/worker.6.log" && echo "it holds layers of its own service"
