# Guards against a third attempt that ends the second one, whose engine is only silent
# for a moment, and then is refused: the request returns to its first engine, which
# hangs for good.
. edge/lib.sh
STREAM_ATTEMPTS=3
start_centre 3 1 1
second=$(sed -n "s/.*\"worker-seen\",\"worker\":\"\([^\"]*\)\",\"address\":\"$(worker 2)\".*/\1/p" "$dir/router.1.log")
moved="s/.*\"request-sent\",\"request\":\"\([^\"]*\)\",\"worker\":\"$second\".*\"send\":\([0-9]*\),.*/\1 \2/p"
moved_to_second() { sed -n "$moved" "$dir/router.1.log" | awk '$2 > 1 { print $1 }' | sort -u; }
curl -s -o "$dir/null" "http://$(worker 2)/stand-in/slow"
curl -s -o "$dir/null" "http://$(worker 1)/stand-in/slow"
"$build/tool_calls" -k s thrice 1.5 120 $(router 1) >"$dir/calls" &
calls=$!
sleep 1.6
kill -STOP $worker_1
sleep 0.3
curl -s -o "$dir/null" "http://$(worker 3)/stand-in/full"
wait_for "[ \$(moved_to_second | wc -l) -ge 1 ]"
kill -STOP $worker_2
sleep 1.2
kill -CONT $worker_2
wait $calls
moved_to_second >"$dir/sent"
awk 'NR == FNR { sent[$1]; next }
	$2 in sent { n++; if ($5 != "whole") cut++ }
	END { print (n ? "some" : "none") " moved to the second engine"
		print "given up although the second engine had them: " cut + 0 }' "$dir/sent" "$dir/calls"
