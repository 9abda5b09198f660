# An instance that the platform can't be reached from learns each change from a
# peer.  If it came to another set than its peer, the same call would be served
# by one and refused by the other, and nobody would see why.  One that joins
# later, or missed many changes, takes the whole text.
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
holds() {
	grep -q "revision=$2 " "$work/router-$1.err"
}
# change FROM TO REVISION: publishes the set with one word replaced.
change() {
	sed "s|$1|$2|" "$set" >"$work/next.json"
	mv "$work/next.json" "$set"
	apply || echo "apply failed"
	until_ok holds 0 "$3"
	until_ok holds 1 "$3"
}
lookups() {
	for i in 0 1; do
		ask GET "http://$(router $i)$1"
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
