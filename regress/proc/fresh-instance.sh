# An instance is replaced during an outage of the platform's service.  It has
# no disk and can fetch the configuration only from its peers; without peers
# it must report that it is not ready, or the load balancer would send callers
# to a router that refuses them all.
. "$(dirname "$0")/lib.sh"
init "$1"
write_set
start_platform
start_plain 1
start_plain 2
start_router 0
until_ok apply
until_ok ready 0
signal platform KILL

echo "- a new instance with a peer"
start_router 1
until_ok ready 1
curl -s "http://$(admin 1)/admin/status" | grep -o '"revision":[0-9]*'
curl -s -m 3 -o /dev/null -w "%{http_code}\n" \
	-H "Authorization: Bearer choir-key" "http://$(router 1)/lookup/1"

echo "- a new instance with nobody to ask"
start_router 2
sed -i 's/"peers":[^]]*\],//' "$work/router-2.json"
signal router-2 KILL
wait_exit router-2
start router-2 "$build/magnoliad" --settings "$work/router-2.json"
until_ok responds "$(admin 2)/healthz"
curl -s -o /dev/null -w "%{http_code}\n" "http://$(admin 2)/readyz"
