# An engine is killed as a stream begins there; the stream goes on at another one.
# Once it has run there for a while it must be no suspect any more, long before it
# ends: suspects are kept apart, and count beside the next crash.
. edge/lib.sh
export FAKE_EVENT_MS=100
start_four 1
ask 1 moved s/moved >"$dir/answer" &
wait_for "grep -q '\"request-sent\",\"request\":\"moved\"' $dir/router.1.log"
sent=$(grep '"request":"moved"' "$dir/router.1.log" | grep -o '"worker":"w-[0-9]' | head -n 1 | tail -c 2)
eval "kill -KILL \$worker_$sent"
wait_for "grep -q '\"request-ended\",\"request\":\"moved\"' $dir/router.1.log"
cat "$dir/answer"
at() { grep "\"name\":\"$1\"$2" "$dir/router.1.log" | sed 's/.*"t_ms":\([0-9]*\).*/\1/' | tail -n 1; }
suspected=$(at request-suspected)
cleared=$(at request-cleared)
ended=$(at request-ended ',"request":"moved"')
[ "${suspected:-0}" -gt 0 ] && echo "suspected"
[ $((ended - ${cleared:-ended})) -ge 700 ] && echo "cleared long before its end"
