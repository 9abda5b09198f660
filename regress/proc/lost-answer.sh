# Answers are lost after the operation took effect: first the platform's answer
# to the swap that records a booking, then the service's answer to the booking
# itself.  The caller must not notice the first.  After the second the outcome
# cannot be determined, so the caller must receive "unknown", also when it
# repeats the key; the failure is a second effect.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 2

echo "- the platform's answer is lost"
for i in 1 2 3; do
	inject_fault "$platform" '{"fault":"lose_after_write","count":1}'
	send_booking 0 /book "swap-$i"
	echo "effects: $(count_effects "swap-$i")"
done

echo "- the service's answer is lost"
inject_fault "127.0.0.1:$(port 1)" '{"fault":"lose_answer","count":1}'
inject_fault "127.0.0.1:$(port 2)" '{"fault":"lose_answer","count":1}'
send_booking 0 /book fee
send_booking 0 /book fee
send_booking 1 /book fee
echo "effects: $(count_effects fee)"

echo "- the answer of a service that honours the derived key is lost"
inject_fault "127.0.0.1:$(port 3)" '{"fault":"lose_answer","count":1}'
load booking /hire --name hire --count 1 --retries 5 --target "$(router 0)" \
	--target "$(router 1)"
echo "effects: $(count_effects hire-0)"
verify
