# Guards against entries of other writers that end a router or that it no longer follows the
# list behind: deeply nested, with numbers too large, or with a port out of range.
. edge/lib.sh
start_platform
put_entry() { curl -s -X POST "http://$store/stand-in/put?Key=servers/$1" --data-binary @- >"$dir/null"; }
# entry NAME SERVICE ADDRESS MORE: a sound entry but for what is given.
entry() {
	put_entry "$1" <<-EOT
	{"Service":"$2","Address":"$3","Zone":"a","Version":"v1","Slots":4,"State":"ready","ColdRemainingMs":0,"Sequence":1$4}
	EOT
}
nested() { awk -v n=$1 -v open="$2" -v close_="$3" 'BEGIN { for (i = 0; i < n; i++) printf "%s", open; printf "1"; for (i = 0; i < n; i++) printf "%s", close_ }'; }
"$build/tool_calls" calls 8 20 $(router 1) $(router 2) >"$dir/calls" &
calls=$!
nested 200000 '[' ']' | put_entry x-nested-list
nested 200000 '{"a":' '}' | put_entry x-nested-object
entry x-nested app 127.0.0.1:9 ",\"More\":$(nested 20000 '[' ']')"
entry x-layers model 127.0.0.1:9 ",\"Kind\":\"big\",\"Layers\":$(nested 1500 '[' ']')"
awk 'BEGIN { for (i = 0; i < 500000; i++) printf "[" }' | put_entry x-open
n=0
for number in 99999999999999999999 -99999999999999999999 9223372036854775807 -9223372036854775808 1e999 -1e999 1e300 \
	"$(awk 'BEGIN { for (i = 0; i < 5000; i++) printf "9" }')"; do
	n=$((n + 1))
	entry x-born-$n app 127.0.0.1:9 ",\"born\":$number"
	entry x-slots-$n app 127.0.0.1:9 ",\"Slots\":$number"
	entry x-cold-$n model 127.0.0.1:9 ",\"Kind\":\"big\",\"ColdRemainingMs\":$number"
	entry x-sequence-$n model 127.0.0.1:9 ",\"Kind\":\"big\",\"Sequence\":$number"
	entry x-target-$n model 127.0.0.1:9 ",\"Kind\":\"big\",\"Layers\":{\"From\":0,\"Target\":$number}"
done
n=0
for address in 127.0.0.1:65536 127.0.0.1:99999 127.0.0.1:0 127.0.0.1:-1 127.0.0.1:99999999999999999999 127.0.0.1: 127.0.0.1 \
	:80 256.1.1.1:80 host:80 '[::1]:80' '[::1' 127.0.0.1:8x '' ' ' 127.0.0.1:80:80; do
	n=$((n + 1))
	entry x-app-$n app "$address"
	entry x-model-$n model "$address" ',"Kind":"big","Layers":{"From":0,"Target":20}'
done
sleep 1
start_worker 9 app a
put_config 2 '"key-1","key-2"'
for r in 1 2; do
	wait_for "logged $r '\"name\":\"worker-seen\",\"worker\":\"w-9-'" && echo "router $r: follows the list"
	wait_for "logged $r '\"name\":\"configuration-taken\",\"version\":2'" && echo "router $r: follows the configuration"
done
wait $calls
start_router 3 a
wait_for "ready 3" && wait_for "served_by $(router 3)" && echo "a router that starts among them serves"
ended=0
for pid in $router_1 $router_2 $router_3; do kill -0 $pid 2>/dev/null || ended=$((ended + 1)); done
echo "routers ended: $ended"
verify 0.99
