# Two workers say that they leave, and the store comes back from a copy in which
# both are ready; it takes workers' entries only 2.5 s later.  What leaves must get
# nothing new.
. edge/lib.sh
start_store
put_config 1
for n in 1 2; do start_worker $n model a big; done
for n in 3 4; do start_worker $n app a; done
for n in 1 2; do start_router $n a; done
for n in 1 2; do wait_for "ready $n"; done
wait_for "[ \$(cat $dir/worker.*.log | grep -c ^ORDER) -ge 2 ]"
wait_for "served_by $(router 1) $(router 2)"
store_copies
"$build/tool_calls" leaving 10 60 $(router 1) $(router 2) >"$dir/calls" &
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
