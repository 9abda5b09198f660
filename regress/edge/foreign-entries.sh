# Guards against entries of other writers that end a router or take a worker out of
# use: layers of other models, at no worker or at the address of a sound one, and
# fields that are missing, of another type or unreadable.
. edge/lib.sh
start_platform
put_entry() { curl -s -X POST "http://$store/stand-in/put?Key=servers/$1" --data-binary "$2" >"$dir/null"; }
whole='"Version":"v1","Slots":4,"State":"ready","ColdRemainingMs":0'
"$build/tool_calls" calls 8 20 $(router 1) $(router 2) >"$dir/calls" &
calls=$!
sleep 0.5
layers='{"From":0,"Target":400}'
put_entry x-1 '{"Service":"model","Address":"127.0.0.1:9","Zone":"a","Slots":4,"State":"ready","Kind":"big","Sequence":"seven","Layers":'$layers'}'
put_entry x-2 '{"Service":"model","Address":"127.0.0.1:9","Zone":"a",'$whole',"Sequence":1,"Kind":"big","Layers":'$layers'}'
sleep 1.5
put_entry x-3 '{"Service":"model","Address":"127.0.0.1:9","Zone":"b",'$whole',"Sequence":1,"Kind":"big","Layers":{"From":0,"Target":200}}'
put_entry x-4 '{"Service":"model","Address":"127.0.0.1:9","Zone":"b",'$whole',"Sequence":1,"Kind":"big","Layers":{"From":2147483647,"Target":-1}}'
sleep 1.5
put_entry x-5 '{"Service":"model","Address":"'$(worker 1)'","Zone":"a","State":"ready","Slots":4,"Kind":"big","born":9000000000000}'
put_entry x-6 '{"Service":"app","Address":"'$(worker 7)'","Zone":"a","State":"ready","Slots":"many","born":9000000000000}'
put_entry x-7 'no JSON'
put_entry x-8 '{"Service":"app","Address":7}'
put_entry x-9 '{"Service":"nobody","Address":"'$(worker 8)'","Zone":"a",'$whole',"Sequence":1,"born":9000000000000}'
wait $calls
ended=0
for pid in $router_1 $router_2; do kill -0 $pid 2>/dev/null || ended=$((ended + 1)); done
echo "routers ended: $ended"
logged 1 '"worker-layers","worker":"x-3"' || logged 2 '"worker-layers","worker":"x-3"' && echo "layers beyond the model are logged"
grep -q '^GOT .* calls-' "$dir/worker.1.log" && echo "the first engine is in use"
verify 0.99
