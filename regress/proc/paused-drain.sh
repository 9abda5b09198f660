# A router is paused, an engine is drained meanwhile, and the platform's
# service goes away before the router wakes.  It wakes with the old set in
# force, and nothing but its peer can tell it of the drain; until it knows, it
# sends work to an engine that may be switched off.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 2
load stream /score --name before --count 8 --concurrency 4 --tokens 4 \
	--target "$(router 1)"
signal router-1 STOP
write_set drain
apply || echo "apply failed"
new_set() {
	curl -s -m 1 "http://$(admin 0)/admin/status" | grep -q '"revision": *2'
}
until_ok new_set
signal platform TERM
ended platform
signal router-1 CONT
sleep 3
before=$(wc -l <"$record")
load stream /score --name after --count 24 --concurrency 4 --tokens 4 \
	--target "$(router 1)"
echo "tokens on engine-0: $(tail -n "+$((before + 1))" "$record" |
	grep -c "endpoint=engine-0 ")"
verify
