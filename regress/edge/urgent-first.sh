# Guards against less urgent requests that take the slots of engines from more
# urgent ones: an account of low priority sends four times as much as fits and
# ignores Retry-After, beside one of high and one of middle priority.
. edge/lib.sh
export PRIORITIES=1 FAKE_EVENT_MS=50
start_halves
"$build/tool_calls" -k s -t key-gold gold 10 20 $(router 1) >"$dir/calls.gold" &
gold=$!
"$build/tool_calls" -k s acme 10 20 $(router 1) >"$dir/calls" &
acme=$!
sleep 2
"$build/tool_calls" -k s -t key-greedy greedy 8 500 $(router 1) >"$dir/calls.greedy"
wait $gold $acme
# served ACCOUNT: prints its streams that were asked and served whole.
served() {
	awk '$3 == "s" {n++; ok += $4 == 200 && $5 == "whole"}
		END {print n + 0, ok + 0}' "$1"
}
echo "gold $(served "$dir/calls.gold") acme $(served "$dir/calls") greedy $(served "$dir/calls.greedy")" >&2
set -- $(served "$dir/calls.gold") $(served "$dir/calls") $(served "$dir/calls.greedy")
[ $(($2 * 100)) -ge $(($1 * 95)) ] && echo "high priority: served"
[ $(($4 * 100)) -ge $(($3 * 95)) ] && echo "middle priority: served"
[ $(($6 * 3 * ($1 + $3 + $5))) -ge $(($5 * ($2 + $4 + $6))) ] && echo "low priority: not starved"
grep -q '"name":"capacity-short"' "$dir/router.1.log" && echo "logged"
