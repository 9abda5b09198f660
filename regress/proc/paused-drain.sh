# An engine is drained while a router is paused, and the platform's service
# fails before the router resumes.  The router resumes with the old set and can
# learn of the drain only from its peer; until then it sends work to an engine
# that may be switched off.
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
wait_exit platform
signal router-1 CONT
sleep 3
before=$(wc -l <"$record")
load stream /score --name after --count 24 --concurrency 4 --tokens 4 \
	--target "$(router 1)"
echo "tokens on engine-0: $(tail -n "+$((before + 1))" "$record" |
	grep -c "endpoint=engine-0 ")"
verify
