# A router was cut off from the others while a request was quarantined, and is back.
# It must be told, though it is known and did not start again.
. edge/lib.sh
start_platform
"$build/tool_peers" $((base + 81)) other
ask 1 p1 r/poison >"$dir/first"
wait_for "logged 1 request-quarantined" && echo "quarantined"
sleep 2
"$build/tool_peers" $((base + 81)) other
