# Guards against a router that serves no more because the reader of its log does not
# read, or that ends because the reader is gone.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 1
signal router-0 TERM
wait_exit router-0
mkfifo "$work/pipe"
exec 8<>"$work/pipe"
LOG=$work/pipe
export LOG
start router-0 sh -c 'exec "$0" "$@" 8>&- 2>"$LOG"' "$build/magnoliad" \
	--settings "$work/router-0.json"
until_ok ready 0 && echo "ready"

# 2000 requests have more than 64 KiB of lines.
lookups() {
	load lookup /lookup --name "$1" --count 2000 --concurrency 16 \
		--target "$(router 0)"
}
echo "- not read"
lookups first

echo "- read again"
cat <&8 >"$work/read" 2>/dev/null &
reader=$!
pids="$pids $reader:$(start_time $reader)"
counted() {
	key=choir-key send_request GET "http://$(router 0)/lookup" >/dev/null
	grep -q ' 8005 log-lines-dropped lines=' "$work/read"
}
until_ok counted && echo "dropped lines are counted"
awk '!/^<[0-9]>20.*Z magnoliad\[[0-9]*\]: [0-9]+ / { print "not a line: " $0 }' "$work/read"

echo "- reader gone"
kill -KILL $reader
wait $reader 2>/dev/null
exec 8>&-
lookups second
signal router-0 TERM
wait_exit router-0
echo "status $?"
verify
