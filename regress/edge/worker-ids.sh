# Guards against sound workers that are not used for their ids: ids as long as the keys of the
# store allow, and with bytes that have a meaning in a request target.
. edge/lib.sh
start_store
put_config 1
start_router 1 a
wait_for "logged 1 configuration-taken"
# use NUMBER ID SERVICE KIND PATH METHOD: tells whether the only worker of a service is used.
use() {
	WORKER_ID=$2
	start_worker $1 $3 a $4
	METHOD=$6
	wait_for "[ \$(ask 1 ask-$1-\$(date +%N) $5) = 200 ]"
	grep -q '^GOT' "$dir/worker.$1.log" && echo "worker $1: used"
	eval "kill -KILL \$worker_$1"
}
long=$(printf '%0184d' 0)
use 1 "$(printf '%064d' 0)" model big s/ POST
use 2 "$long-192-byt" model big s/ POST
use 3 "$(printf '%064d' 1)" app '' r/ GET
use 4 "$long-192-bys" app '' r/ GET
worker=4
for id in 'a00%41' 'a01%2F' 'a02&b=' 'a03+' 'a04%C3%A9' 'a05 x' 'a06é' 'a07"\' "a08'#?;:=/,"; do
	worker=$((worker + 1))
	use $worker "$id" app '' r/ GET
done
