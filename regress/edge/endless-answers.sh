# Instead of answers a router gets bytes without end: in a header, as interim answers, in
# a body, in that of another request's answer, in an event.  It must stay small, answer
# each caller in time, refuse only what was not sent, and serve as before afterwards.
. edge/lib.sh
start_cut_off 1
for mode in head interim body other events; do
	cut_off $mode 1
	"$build/tool_calls" $mode 4 20 $(router 1) >"$dir/got"
	calls=$(grep -c '^CALL' "$dir/got")
	echo "$mode: whole $(grep '^CALL' "$dir/got" | grep -c ' 200 whole')," \
		"unanswered $(awk '$1 == "CALL" && $4 == 0' "$dir/got" | wc -l)"
	[ $calls -ge 60 ] || echo "$mode: $calls calls"
	cut_off pass 1
	wait_for "served_by $(router 1)"
done
echo "false refusals: $(grep '"event":10003' "$dir/router.1.log" | grep '"status":503' | grep -c '"may_have_run":true')"
kb=$(awk '/VmHWM/ { print $2 }' /proc/$router_1/status)
[ "$kb" -lt 112000 ] && echo "memory: in bounds" || echo "memory: $kb KB"
