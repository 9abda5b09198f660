# Half of a service is migrated: one group of its endpoints honours the key
# derived by the router, the other has no keys.  The answer of a booking at the
# migrated group is lost.  A resend is safe there; a router that considers the
# whole service would answer "unknown".
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
inject_fault "127.0.0.1:$(port 3)" '{"fault":"lose_answer","count":1}'
send_booking 0 /hire third
send_booking 1 /hire third
echo "effects: $(count_effects third)"
verify
