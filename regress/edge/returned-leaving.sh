# Two workers report that they leave, and the store is restored from a backup in
# which both are ready; it rejects workers' entries for another 2.5 s.  Leaving
# workers must receive nothing new.
. edge/lib.sh
start_twins 2
store_copies
"$build/tool_calls" leaving 10 60 $routers >"$dir/calls" &
calls=$!
sleep 1
for n in 2 4; do curl -s -o "$dir/null" "http://$(worker $n)/stand-in/drain"; done
wait_for "logged 1 worker-leaving.*w-4 && logged 2 worker-leaving.*w-4"
sleep 2.5
before=$(cat $dir/worker.[24].log | grep -c ^GOT)
store_returns 500 2500 0
wait $calls
echo "requests to workers that left: $(($(cat $dir/worker.[24].log | grep -c ^GOT) - before))"
echo "calls that failed: $(grep -cv ' 200 whole' $dir/calls)"
verify 0.99
