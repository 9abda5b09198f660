# The platform's service returns from an outage with an older state.  No router
# may revert to the older set: a drained engine would receive work again.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 2
inject_fault "$platform" '{"fault":"snapshot","count":1}'
responds "$platform/stats"
write_set drain
apply
has_applied() {
	grep -q 'config-applied revision=2 ' "$work/router-$1.err"
}
until_ok has_applied 0
until_ok has_applied 1
inject_fault "$platform" '{"fault":"rewind","count":1}'
responds "$platform/stats"
sleep 2
before=$(wc -l <"$record")
load stream /score --name tune --count 12 --concurrency 4 --tokens 4 \
	--target "$(router 0)" --target "$(router 1)"
echo "tokens on the drained engine: $(tail -n "+$((before + 1))" "$record" |
	grep -c 'endpoint=engine-0 ')"
cat "$work"/router-?.err | grep -c 'config-applied revision=1 '
verify
