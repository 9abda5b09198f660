# Half of a service is migrated: one group of its endpoints runs a key of the
# router's own once, the other knows no keys.  A booking that goes to the
# migrated group loses its answer.  Asking again is safe there; a router that
# looks at the whole service would leave the caller with "unknown".
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 2
sed -i -e '/"name":"hire","path"/s/"service"/"group":"migrated","service"/' \
	-e '/"name":"exchange-3"/s/"service"/"group":"migrated","service"/' \
	"$set"
sed -i '/"name":"hire","path"/,/required/s/"required"},/"required"},\
	{"kind":"endpoint","name":"legacy","service":"hire-app",\
	 "data_centre":"dc-a","address":"127.0.0.1:'"$(port 4)"'",\
	 "concurrency":32,"group":"legacy"},/' "$set"
apply || echo "apply failed"
in_force() {
	curl -s "http://$(admin "$1")/admin/status" | grep -q '"revision":2'
}
until_ok in_force 0
until_ok in_force 1
fault "127.0.0.1:$(port 3)" '{"fault":"lose_answer","count":1}'
book 0 /hire third
book 1 /hire third
echo "effects: $(effects third)"
verify
