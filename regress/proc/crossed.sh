# Endpoints answer late, twice, or with the answer of another request.  Each
# caller must get its own answer or be told that there is none; one ensemble
# reading another's booking is the fault.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 1

echo "- tokens of another request, and tokens twice"
for i in 0 1 2 3 4 5; do
	fault "127.0.0.1:$(engine_port $i)" \
		'{"fault":"duplicate","count":20}'
done
fault "127.0.0.1:$(engine_port 0)" '{"fault":"wrong_id","count":1}'
load stream /score --name tune --count 12 --concurrency 4 --tokens 8 \
	--target "$(router 0)"

echo "- lookups answered with another's answer"
fault "127.0.0.1:$(port 1)" '{"fault":"swap","count":3}'
load lookup /lookup --name seats --count 40 --concurrency 4 \
	--target "$(router 0)" | grep wrong

echo "- lookups answered twice"
fault "127.0.0.1:$(port 1)" '{"fault":"duplicate","count":3}'
load lookup /lookup --name rows --count 40 --concurrency 4 \
	--target "$(router 0)" | grep wrong

echo "- bookings answered under another id"
fault "127.0.0.1:$(port 1)" '{"fault":"wrong_id","count":1}'
fault "127.0.0.1:$(port 2)" '{"fault":"wrong_id","count":1}'
book 0 /book one
book 0 /book one
echo "effects: $(effects one)"
verify
