# Normal operation: streams, bookings and look-ups through two routers are all
# served.
. edge/lib.sh
start_platform
"$build/tool_calls" calm 4 40 $(router 1) $(router 2) >"$dir/calls"
verify 0.95
