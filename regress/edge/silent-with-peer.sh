# All engines hang for a moment under streams, and a peer could be asked.  The peer
# reaches no engine either: an attempt that is cancelled for it is lost, though its
# engine goes on.  Configurations come meanwhile.
. edge/lib.sh
start_twins 2
"$build/tool_calls" -k s silent 5 40 $(router 1) $(router 2) >"$dir/calls" &
calls=$!
sleep 1
put_config 2
for n in 1 2; do eval "kill -STOP \$worker_$n"; done
sleep 1.1
put_config 3
for n in 1 2; do eval "kill -CONT \$worker_$n"; done
wait $calls
awk '$5 == "broken" || $4 == 502 { cut++ }
	END { print "given up: " cut + 0 }' "$dir/calls"
verify 0.5
