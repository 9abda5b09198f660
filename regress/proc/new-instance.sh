# The platform's list of instances is empty, and later the platform is down
# when another instance starts.  Accounts have limits for the whole fleet; an
# instance that cannot determine its share of them must still serve, otherwise
# every caller is refused as over its limit until the platform returns.
. "$(dirname "$0")/lib.sh"
init "$1"
write_set
sed 's|^\]}$|,{"kind":"limit","name":"choir-rate","account":"choir",\
	 "requests_per_s":2400}]}|' "$set" >"$work/limited.json"
mv "$work/limited.json" "$set"
start_platform
start_plain 1
start_plain 2
apply || echo "apply failed"
start_router 0
until_ok ready 0

lookup() {
	send_request GET "http://$(router "$1")/lookup"
}

echo "- an instance that the list lacks"
sleep 1
lookup 0
lookup 0
echo "- one that starts while the platform is down"
signal platform TERM
wait_exit platform
start_router 1
until_ok ready 1
sleep 1
lookup 1
lookup 1
