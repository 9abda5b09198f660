# An instance that cannot reach the platform receives each change as edits from
# a peer.  If the edits led to a different set, one instance would serve a call
# that the other refuses, without a visible reason.  An instance that joins
# later, or missed many changes, fetches the whole text.
. "$(dirname "$0")/lib.sh"
init "$1"
write_set
start_platform
start_plain 1
start_plain 2
apply || echo "apply failed"
start_router 0
until_ok ready 0
reached=$platform
platform=127.0.0.1:$(port 89)
start_router 1
platform=$reached
until_ok ready 1

counter() {
	curl -s -m 2 "http://$(admin "$1")/metrics" |
		sed -n "s/^magnolia_$2 //p"
}
has_applied() {
	grep -q "revision=$2 " "$work/router-$1.err"
}
# change FROM TO REVISION: publishes the set with FROM replaced by TO and waits
# until both routers have applied it.
change() {
	sed "s|$1|$2|" "$set" >"$work/next.json"
	mv "$work/next.json" "$set"
	apply || echo "apply failed"
	until_ok has_applied 0 "$3"
	until_ok has_applied 1 "$3"
}
lookups() {
	for i in 0 1; do
		send_request GET "http://$(router $i)$1"
	done
}

lookups /lookup
change '"path":"/lookup"' '"path":"/seek"' 2
echo "- the path has another name"
lookups /lookup
lookups /seek
change '"name":"ringers","weight":1' '"name":"singers","weight":1' 3
change '"concurrency":32' '"concurrency":33' 4
lookups /seek
echo "edits taken $(counter 1 rpc_edits_taken_total)," \
	"refused $(count_log router-1 config-offer-refused)"
for i in 0 1; do
	echo "applied: $(grep -o 'config-applied revision=[0-9]*' \
		"$work/router-$i.err" | sed 's/.*=//' | tr '\n' ' ')"
done
