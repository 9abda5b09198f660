# Guards against a version that is refused for the length of its texts or the number of
# its objects: the key that it takes away must not work on, and what is new must.
. edge/lib.sh
start_platform
chars() { printf "%0$2d" 0 | sed "s/0/$1/g"; }
name=$(chars n 300)
host=$(chars h 200).example
path=$(chars p 500)
key=$(chars k 3000)
kinds=$(for n in $(seq 30); do printf ',{"Name":"kind-%s-%d","Mb":9000,"pace":2,"ReadX":2}' "$name" $n; done)
split=$(for n in $(seq 12); do printf '%s{"Service":"%s-%d","Weight":1}' "${split_sep:-}" "$name" $n; split_sep=,; done)
SERVICES='{"Name":"model","HealthPath":"/healthz","MaxConnections":900,
"Engine":{"Slots":64,"KvTokenBytes":590000,"Models":[{"Name":"'$name'","LoadS":1}],"step_ms":1,"per_seq_ms":0.004,"context_per_k":0.006,
"read_per_s":160000,"usual":{"prompt":100,"answer":20},"Layers":20,"LayerMb":1750,"ActBytes":29500,"PipeMbps":19000,
"Kinds":[{"Name":"big","Mb":72000,"pace":2.4,"ReadX":3.2},{"Name":"small","Mb":21600,"pace":16,"ReadX":8.2}'$kinds']}},
{"Name":"deep","HealthPath":"/h","MaxConnections":9,
"Engine":{"Slots":64,"KvTokenBytes":590000,"Models":[{"Name":"d","LoadS":1}],"step_ms":1,"per_seq_ms":0.004,"context_per_k":0.006,
"read_per_s":160000,"usual":{"prompt":100,"answer":20},"Layers":400,"LayerMb":1750,"Kinds":[]}},
{"Name":"app","HealthPath":"/'$path'","MaxConnections":4294967296}'
for n in $(seq 12); do
	SERVICES="$SERVICES,{\"Name\":\"$name-$n\",\"HealthPath\":\"/h\",\"MaxConnections\":9}"
done
MORE_ROUTES=',{"Name":"'$name'","Host":"'$host'","PathPrefix":"/'$path'/","Kind":"idempotent","TimeoutMs":1e300,"TargetLatencyMs":500,"MaxAttempts":4294967297,"Service":"app"},
{"Name":"split","Host":"'$host'","PathPrefix":"/split/","Kind":"'$name'","TimeoutMs":500,"MaxAttempts":1,"TrafficSplit":['$split']},
{"Name":"deep","Host":"'$host'","PathPrefix":"/deep/","Kind":"streaming","TimeoutMs":5000,"MaxAttempts":1,"Service":"deep"}'
BODY_BYTES=4294967296
put_config 2 "\"$key\""
wait_for "logged 1 '\"version\":2,'" && wait_for "logged 2 '\"version\":2,'"
get() {
	curl -s -m 8 -o "$dir/null" -w '%{http_code}\n' -H "Host: $2" -H "Attempt-Id: $(date +%N)" \
		-H "Authorization: Token $3" -H 'Token-Count: 100,20' "http://$(router 1)/$1"
}
echo "the old key: $(get r/x h.example key-1)"
echo "the new key: $(get r/x h.example "$key")"
echo "a key that begins like it: $(get r/x h.example "${key}k")"
echo "the long route: $(get "$path/x" "$host" "$key")"
echo "a path that begins like its prefix: $(get "${path}p/x" "$host" "$key")"
echo "services without workers: $(get split/x "$host" "$key")"
echo "a model that is too large: $(get deep/x "$host" "$key")"
logged 1 '"model-too-large","service":"deep","layers":400' && echo "which is logged"
logged 1 configuration-bad || echo "nothing was refused"
