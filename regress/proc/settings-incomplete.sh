# Guards against routers that exit because their settings file is not there yet or
# still being written, and against waiting for what no further byte can mend.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 1
signal router-0 TERM
wait_exit router-0
cp "$work/router-0.json" "$work/whole"
size=$(wc -c <"$work/whole")
file=$work/settings.json

# run_router OPTION...: starts router 0 with the settings file.
run_router() {
	: >"$work/router-0.err"
	start router-0 "$build/magnoliad" --settings "$file" "$@"
}
waits() {
	grep -q " 8007 .*$1" "$work/router-0.err"
}
waits_or_ended() {
	waits "" || has_ended router-0
}

run_router
until_ok waits 'No such file' && echo "missing: waits"
head -c $((size / 2)) "$work/whole" >"$file"
until_ok waits 'not JSON: line' && echo "half of it: waits"
cat "$work/whole" >"$file"
until_ok ready 0 && echo "whole: ready"
signal router-0 TERM
wait_exit router-0
echo "status $?"

rm "$file"
run_router
until_ok waits 'No such file'
signal router-0 TERM
wait_exit router-0
echo "stopped while it waits: status $?"

# refused WHAT OPTION...: prints how a run ends that does not wait.
refused() {
	what=$1
	shift
	timeout 20 "$build/magnoliad" --settings "$file" "$@" 2>"$work/refused"
	echo "$what: status $?"
	sed 's/.*magnoliad\[[0-9]*\]: //' "$work/refused"
}
refused "missing, an option is wrong" --threads many
refused "missing, only checked" --check
head -c $((size / 2)) "$work/whole" >"$file"
refused "half of it, only checked" --check
sed 's/"cluster":/"cluster" /' "$work/whole" >"$file"
refused "malformed text"
sed 's/"threads":[0-9]*/"threads":"x"/' "$work/whole" >"$file"
refused "malformed field"

# Wherever the file is cut, the router waits.
cuts="0 1 $(seq 2 23 $((size - 3))) $((size - 2))"
for cut in $cuts; do
	head -c "$cut" "$work/whole" >"$file"
	run_router
	until_ok waits_or_ended
	signal router-0 KILL && echo waits
	wait_exit router-0
done | sort | uniq -c | awk -v all="$(echo $cuts | wc -w)" \
	'{ print "cut files: " $2 ($1 == all ? " in each case" : " " $1) }'

# overwritten WHAT: starts router 0 with malformed settings, which are written to their
# end in place.
overwritten() {
	run_router
	until_ok waits_or_ended
	cat "$work/whole" 1<>"$file"
	truncate -s "$size" "$file"
	until_ok ready 0 && echo "$1: ready"
	signal router-0 KILL 2>/dev/null
	wait_exit router-0
}
{ cat "$work/whole"; echo '"threads":8}'; } >"$file"
overwritten "a longer one before it"
{ cat "$work/whole"; head -c 100 /dev/zero; } >"$file"
overwritten "zeros after it"
echo '{}' >"$file"
overwritten "an object without fields"
