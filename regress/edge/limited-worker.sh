# An engine and a plain worker state the requests a second that they accept from
# all routers together, while three routers of their data centre send more.  If
# the limit were ignored, or each router used all of it, it would be exceeded
# although other workers have room for the rest.
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
