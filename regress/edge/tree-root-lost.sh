# Of nine routers one follows the store and the others learn of changes from it.
# It hangs, then dies: otherwise the others would keep an outdated configuration.
. edge/lib.sh
start_store
put_config 1
start_worker 1 app a
for n in 1 2 3 4 5 6 7 8 9; do start_router $n $(echo a b c | cut -d' ' -f$((n % 3 + 1))); done
for n in 1 2 3 4 5 6 7 8 9; do wait_for "ready $n"; done

# followers: the routers that follow the store themselves.
followers() {
	for n in 1 2 3 4 5 6 7 8 9; do
		curl -s -m 1 "http://127.0.0.1:$((base + 90 + n))/metrics" |
			grep -q 'magnolia_tree_follows_store 1' && echo $n
	done
}

# others_have VERSION: all routers but the lost one have taken it.
others_have() {
	for n in 1 2 3 4 5 6 7 8 9; do
		[ $n = "$lost" ] || logged $n "configuration-taken\",\"version\":$1" || return 1
	done
}

wait_for '[ "$(followers | wc -l)" = 1 ]' && echo "one follows the store"
lost=$(followers)
eval "kill -STOP \$router_$lost"
put_config 2
wait_for "others_have 2" && echo "others have version 2"
eval "kill -CONT \$router_$lost"
wait_for '[ "$(followers | wc -l)" = 1 ]' && echo "one follows the store"
lost=$(followers)
eval "kill -KILL \$router_$lost"
put_config 3
wait_for "others_have 3" && echo "others have version 3"
wait_for '[ "$(followers | wc -l)" -le 3 ]' && echo "at most one a data centre does"
start_router $lost a
lost=none
put_config 4
wait_for "others_have 4" && echo "all have version 4"
grep -c changes-rejected "$dir"/router.*.log | grep -v ':0$'
