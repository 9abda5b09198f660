# An engine and a plain worker say in their answers that they are leaving, while
# the store's list says for seconds that they are ready.  A router that learns it
# from the list alone still sends them requests when they end.
. edge/lib.sh
start_twins 1
"$build/tool_calls" leaving 8 60 $routers >"$dir/calls" &
calls=$!
sleep 1
find_plain_in_use
leave 1
leave $plain
wait $calls
echo "workers that said it: $(grep -c '"worker-leaving".*"source":"request"' "$dir/router.1.log")"
after_leaving
verify 1
