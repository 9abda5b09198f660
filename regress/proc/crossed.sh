# Endpoints answer late, twice, or with the answer of another request.  Each
# caller must receive its own answer or an error; the failure is a caller that
# receives another caller's booking.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 1

echo "- tokens of another request, and tokens twice"
for i in 0 1 2 3 4 5; do
	inject_fault "127.0.0.1:$(engine_port $i)" \
		'{"fault":"duplicate","count":20}'
done
inject_fault "127.0.0.1:$(engine_port 0)" '{"fault":"wrong_id","count":1}'
load stream /score --name tune --count 12 --concurrency 4 --tokens 8 \
	--target "$(router 0)"

echo "- lookups answered with another's answer"
inject_fault "127.0.0.1:$(port 1)" '{"fault":"swap","count":3}'
load lookup /lookup --name seats --count 40 --concurrency 4 \
	--target "$(router 0)" | grep wrong

echo "- lookups answered twice"
inject_fault "127.0.0.1:$(port 1)" '{"fault":"duplicate","count":3}'
load lookup /lookup --name rows --count 40 --concurrency 4 \
	--target "$(router 0)" | grep wrong

echo "- bookings answered under another id"
inject_fault "127.0.0.1:$(port 1)" '{"fault":"wrong_id","count":1}'
inject_fault "127.0.0.1:$(port 2)" '{"fault":"wrong_id","count":1}'
send_booking 0 /book one
send_booking 0 /book one
echo "effects: $(count_effects one)"
verify
