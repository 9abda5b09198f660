# The machine of all workers is paused for 0.8 s under streams that may run only once;
# there is no peer.  Their connections stay open, new ones are not answered.  Workers
# that do not answer a connection attempt are silent, not dead: no stream is given up.
. edge/lib.sh
STREAM_ATTEMPTS=1
start_cut_off 1
"$build/tool_calls" -k s frozen 5 40 $(router 1) >"$dir/calls" &
calls=$!
sleep 1.5
cut_off freeze 1
sleep 0.8
cut_off pass 1
wait $calls
awk '$5 == "broken" || $4 == 502 { cut++ } END { print "given up: " cut + 0 }' "$dir/calls"
verify 0.6
