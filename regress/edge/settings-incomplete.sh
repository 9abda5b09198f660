# Guards against routers that exit, or keep old settings, because their settings file
# is not there yet or still being written.
. edge/lib.sh
start_store
put_config 1
start_worker 1 app a
write_settings 1 a
mv "$dir/router.1.json" "$dir/whole"
size=$(wc -c <"$dir/whole")

run_router 1
wait_for "logged 1 'start-delayed.*No such file'" && echo "missing: waits"
head -c $((size / 2)) "$dir/whole" >"$dir/router.1.json"
wait_for "logged 1 'start-delayed.*line '" && echo "half of it: waits"
kill -0 $router_1 && echo "runs"
cat "$dir/whole" >"$dir/router.1.json"
wait_for "logged 1 '\"started\"'" && echo "whole: started"

# The rest is written within the resolution of the file's time.
sed 's/"retry_slack":200/"retry_slack":201/' "$dir/whole" >"$dir/changed"
head -c $((size / 2)) "$dir/changed" >"$dir/router.1.json"
touch -d '2026-01-01 00:00:00' "$dir/router.1.json"
wait_for "logged 1 settings-refused" && echo "half of a change: the old ones hold"
cat "$dir/changed" >"$dir/router.1.json"
touch -d '2026-01-01 00:00:00' "$dir/router.1.json"
wait_for "logged 1 settings-reloaded" && echo "whole change: taken"
kill -KILL $router_1

# What no further byte can mend ends it at once.
sed 's/"store_lease_ms_min":1000/"store_lease_ms_min":"x"/' "$dir/whole" >"$dir/router.2.json"
run_router 2
wait $router_2
echo "malformed field: status $?"
grep -o 'store_lease_ms_min: missing or malformed' "$dir/router.2.log"
sed 's/"stop_s":8/"stop_s" 8/' "$dir/whole" >"$dir/router.2.json"
run_router 2
wait $router_2
echo "malformed text: status $?"
sed 's/"callers":"[^"]*"/"callers":"a\\"b"/' "$dir/whole" >"$dir/router.2.json"
run_router 2
wait $router_2
echo "malformed address: status $?"
grep -o '"why":"a?b: Invalid argument"}' "$dir/router.2.log"

# Wherever the file is cut, the router waits.
for cut in 0 1 $(seq 2 23 $((size - 3))) $((size - 2)); do
	head -c $cut "$dir/whole" >"$dir/router.3.json"
	: >"$dir/router.3.log"
	run_router 3
	wait_for "logged 3 start-delayed || ! kill -0 $router_3 2>$dir/null"
	kill -KILL $router_3 2>"$dir/null" && echo waits
	wait $router_3 2>"$dir/null"
done | sort | uniq -c | awk -v all=$(seq 2 23 $((size - 3)) | wc -l) '{ print "cut files: " $2 ($1 == all + 3 ? " in each case" : " " $1) }'

# overwritten WHAT: starts a router whose settings are malformed until they are written
# to their end in place.
overwritten() {
	: >"$dir/router.4.log"
	run_router 4
	wait_for "logged 4 start-delayed || ! kill -0 $router_4 2>$dir/null"
	cat "$dir/whole" 1<>"$dir/router.4.json"
	truncate -s $size "$dir/router.4.json"
	wait_for "logged 4 '\"started\"' || ! kill -0 $router_4 2>$dir/null"
	kill -KILL $router_4 2>"$dir/null" && echo "$1: started"
	wait $router_4 2>"$dir/null"
}
{ cat "$dir/whole"; echo '"worker_report_ms":300}'; } >"$dir/router.4.json"
overwritten "a longer one before it"
{ cat "$dir/whole"; head -c 100 /dev/zero; } >"$dir/router.4.json"
overwritten "zeros after it"
echo '{}' >"$dir/router.4.json"
overwritten "an object without fields"
