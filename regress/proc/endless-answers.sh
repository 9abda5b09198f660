# Guards against answers without end, in a header, in headers, as interim answers or in a
# body, which magnoliad keeps until it is out of memory.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 1
for n in 1 2; do signal exchange-$n KILL; done
# connects PORT: tells whether something listens there.
connects() { curl -s -m 1 -o /dev/null "http://127.0.0.1:$1/" || [ $? != 7 ]; }
mkfifo "$work/commands"
exec 8<>"$work/commands"
"$build/tool_proxy" "127.0.0.1:$(port 1)" "127.0.0.1:$(port 3)" \
	"127.0.0.1:$(port 2)" "127.0.0.1:$(port 3)" <&8 &
pids="$pids $!:$(start_time $!)"
until_ok connects "$(port 2)"
lookup() { send_request GET "http://$(router 0)/lookup/$1" -m 3; }
for mode in head fields interim body; do
	echo $mode >&8
	sleep 0.6
	for n in 1 2; do lookup $mode-$n; done
done >"$work/told"
grep '^200' "$work/told"
kb=$(awk '/VmHWM/ { print $2 }' "/proc/$(pid_of router-0)/status")
[ "${kb:-9999999}" -lt 200000 ] && echo "memory in bounds" || echo "memory $kb KB"
cat "$work/told" >&2
verify
