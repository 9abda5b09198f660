# Guards against connections that are cut, and against a process that does not end, when
# callers still hold them once the time to stop is used up and the next process waits.
. edge/lib.sh
FAKE_EVENT_MS=200 PLAIN_TIMEOUT_MS=9000
export FAKE_EVENT_MS
# head METHOD PATH ID [LENGTH]: the head of a request, without its last line.
head() {
	printf '%s /%s HTTP/1.1\\r\\nHost: h.example\\r\\nAttempt-Id: %s\\r\\n' $1 $2 $3
	printf 'Authorization: Token key-1\\r\\nToken-Count: 100,20\\r\\n%s' ${4:+Content-Length:\ $4\\r\\n}
}
# talk ID FIRST [AFTER_S SECOND [PAUSE_S]]: connects, sends FIRST, and SECOND so much later,
# and writes what comes to $dir/got.ID until the router closes; with PAUSE_S it waits so
# long before each line.  How the connection ended goes to $dir/end.ID.
talk() {
	bash -c '
		trap "" PIPE
		exec 3<>/dev/tcp/'$(router 1 | tr : /)' || exit
		printf "$2" >&3
		: >"$0/sent.$1"
		[ -z "$3" ] || { sleep $3; printf "$4" >&3; }
		if [ -n "$5" ]; then
			while IFS= read -r line; do printf "%s\n" "$line"; sleep $5; done <&3
		else
			cat <&3
		fi >"$0/got.$1" 2>"$0/end.$1"
		: >"$0/over.$1"' "$dir" "$@" 2>"$dir/null" &
	pids="$pids $!"
	talks="${talks:-} $1"
}
# whole ID: tells whether exactly one answer came, all of it.
whole() {
	tr -d '\r' <"$dir/got.$1" | awk '
		/^HTTP\/1.1 / && !body { answers++; next }
		!body && tolower($1) == "content-length:" { length_is = $2; next }
		!body && tolower($1) == "transfer-encoding:" { chunked = 1; next }
		/^$/ && !body { body = 1; next }
		body { got += length($0) + 1; last = last_but_one; last_but_one = $0; if ($0 == "0") end = 1 }
		END { exit !(answers == 1 && body && (chunked ? end : got >= length_is)) }'
}
status() { sed -n '1s/HTTP.1.1 \([0-9]*\).*/\1/p' "$dir/got.$1"; }
# tell ID [KIND]: prints how a caller was answered; for requests that were sent in full,
# also for verify.
tell() {
	[ -s "$dir/got.$1" ] || echo "$1: no answer, connection $([ -s "$dir/end.$1" ] && echo reset || echo closed)"
	[ -s "$dir/got.$1" ] || return
	ended=broken
	whole $1 && ended=whole
	echo "$1: $ended"
	echo "$1: $(status $1)" >&2
	[ -z "$2" ] || echo "CALL $1 $2 $(status $1) $ended ordered own 0" >>"$dir/calls"
}

start_twins 1
old=$router_1
mv "$dir/router.1.log" "$dir/router.old.log"
entries() { curl -s "http://$store/api/kv-range?PathPrefix=mag/instance" | sed 's/,"StoreRevision.*//'; }
entries >"$dir/entries"
cat "$dir/entries" >&2
# One of the two plain workers answers nothing from now on.
kill -STOP $worker_3
for n in 1 2 3 4; do talk waits-$n "$(head POST b/x waits-$n 2)\r\n{}"; done
talk idle ''
talk kept "$(head GET s/x kept)\r\n"
talk half-head "$(head GET s/x half-head)"
talk late-head "$(head GET s/x late-head)" 2 '\r\n'
talk half-body "$(head POST b/x half-body 9)\r\nab"
talk late-body "$(head POST b/x late-body 9)\r\nab" 2 'cdefghi'
talk slow-reader "$(head GET s/x slow-reader)\r\n" '' '' 0.08
for id in $talks; do wait_for "[ -e $dir/sent.$id ]"; done
sleep 0.3
kill -TERM $old
run_router 1
wait $old
echo "the one before: status $?"
kill -CONT $worker_3
wait_for "ready 1" && echo "the next one is ready"
for id in $talks; do wait_for "[ -e $dir/over.$id ]"; done
for n in 1 2 3 4; do tell waits-$n b; done
tell idle
for id in kept late-head slow-reader; do tell $id s; done
tell late-body b
tell half-head
tell half-body
for id in kept late-head slow-reader; do
	echo "$id: $(grep -c '^data: ' "$dir/got.$id") events" >&2
done
sleep 1
entries | cmp - "$dir/entries" && echo "the entries are those of the next one"
grep -h 'stopp\|start' "$dir"/router.*.log >&2
served_by $(router 1) && echo "the next one serves"
verify 0
