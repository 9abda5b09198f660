# Guards against an answer that breaks off inside its head, or inside its body, and is
# passed on as a whole one: bookings, lookups and streams, cut after each byte.
. edge/lib.sh
start_centre 3 3 1
cut() { for n in $1; do curl -s -o "$dir/null" "http://$(worker $n)/stand-in/cut-answer/$2"; done; }
get() {
	curl -s -m 8 -o "$dir/body" -w '%{http_code} ' -X $1 -H 'Host: h.example' -H "Attempt-Id: $2" \
		-H 'Authorization: Token key-1' -H 'Token-Count: 100,20' "http://$(router 1)/$3"
	tr -d '\n' <"$dir/body" | tail -c 15
	echo
}
cuts() { cat "$dir"/worker.*.log | grep -c '^CUT.* answer '; }
# try NAME METHOD PATH WORKERS WHOLE STEP PAUSE_S: cuts the next answer of each worker, after more
# bytes each time, and tells whether callers got any of these as whole ones.
try() {
	cut "$4" 0
	get $2 $1-first $3 >"$dir/first"
	bytes=$(grep -h "^CUT.* answer " "$dir"/worker.*.log | awk '{ bytes = $NF } END { print bytes }')
	: >"$dir/$1"
	before=$(cuts)
	for at in $(seq 0 $6 $((bytes - 1))); do
		sleep $7
		cut "$4" $at
		get $2 $1-$at $3 >>"$dir/$1"
	done
	cut "$4" -1
	sort "$dir/$1" | uniq -c >&2
	[ $(($(cuts) - before)) -ge $((bytes / $6)) ] && echo "$1: answers were cut"
	echo "$1: parts taken for whole answers: $(grep '^200 ' "$dir/$1" | grep -vc "^200 $5\$")"
	sleep 1.5
}
try bookings POST b/x "4 5 6" done 3 0
try lookups GET r/x "4 5 6" done 3 0
try streams GET s/x "1 2 3" 'id: 20data: 20' 19 1
