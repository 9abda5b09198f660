# The store is unreachable for three seconds and loses its history.  The loaded
# configuration continues to be served, and one written afterwards comes into
# force.
. edge/lib.sh
start_platform
"$build/tool_calls" down 6 30 $(router 1) $(router 2) >"$dir/calls" &
calls=$!
sleep 1
fault reset
sleep 3
curl -s -o "$dir/null" "http://$store/stand-in/forget"
fault none
wait $calls
put_config 2
wait_for "logged 1 '\"version\":2,'" && wait_for "logged 2 '\"version\":2,'" && echo "version 2 in force"
verify 0.5
