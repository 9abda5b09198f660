# Guards against keys that are not asked for any more once the last account or its keys are taken
# away, or once the list of accounts cannot be read.
. edge/lib.sh
start_store
exempt='{"Name":"x","Host":"h.example","PathPrefix":"/x/","Kind":"idempotent","TimeoutMs":3000,"TargetLatencyMs":500,"MaxAttempts":2,"AuthExempt":true,"Service":"app"}'
MORE_ROUTES=",$exempt"
put_config 1
start_worker 1 app a
start_router 1 a
start_router 2 a
for r in 1 2; do wait_for "ready $r"; done
wait_for '[ $(ask 1 first r/x) = 200 ]'
# status ROUTER PATH [KEY]: of a look-up with a key, if one is given.
status() {
	calls=$((${calls:-0} + 1))
	curl -s -m 8 -o "$dir/null" -w '%{http_code} ' -H 'Host: h.example' -H "Attempt-Id: c-$calls" \
		${3+-H "Authorization: Token $3"} "http://$(router $1)/$2/x"
}
# statuses WHAT: without a key, with the known, an unknown and an empty one; then on the exempt route.
statuses() {
	for r in 1 2; do
		echo "$1: router $r: $(status $r r)$(status $r r key-1)$(status $r r other)$(status $r r '')$(status $r x)$(status $r x other)"
	done
}
# publish VERSION TENANTS
publish() {
	TENANTS=$2 put_config $1
	for r in 1 2; do wait_for "logged $r '\"name\":\"configuration-taken\",\"version\":$1'"; done
}
statuses "one key"
publish 2 '"Tenants":[],'
statuses "no account"
publish 3 ''
statuses "accounts left out"
publish 4 '"Tenants":[],'
statuses "no account again"
publish 5 '"Tenants":[{"Name":"acme","ApiKeys":["key-1",""]}],'
statuses "an empty key"
publish 6 '"Tenants":[{"Name":"acme","ApiKeys":[]}],'
statuses "no key"
for tenants in null '{}' '"x"' 0; do
	: >"$dir/router.1.log"
	: >"$dir/router.2.log"
	TENANTS="\"Tenants\":$tenants," put_config 7
	for r in 1 2; do wait_for "logged $r 'configuration-bad.*Tenants'" && status $r r && status $r r other && echo "$tenants: router $r refuses it"; done
done
publish 8 '"Tenants":[],'
kill -KILL $router_1 $router_2
start_router 1 a
start_router 2 a
for r in 1 2; do wait_for "ready $r"; done
statuses "no account, after a start"
