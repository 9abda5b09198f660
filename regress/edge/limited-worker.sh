# An engine and a plain worker name the requests a second that they take from all
# routers, while three routers of their data centre send them more.  A limit
# that is not read, or that each router keeps for itself, is passed, though
# others have room for all the rest.
. edge/lib.sh
start_twins 3
"$build/tool_calls" limited 14 90 $routers >"$dir/calls" &
calls=$!
sleep 2
name_limit 1 6
name_limit 3 9
wait $calls
limits
verify 0.95
