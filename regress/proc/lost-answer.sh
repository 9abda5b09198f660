# Answers are lost after their write has taken effect: the platform's answer
# to the swap that records a booking, then the service's answer to the booking
# itself.  The first must not be noticed.  After the second nobody knows, so
# the caller must hear unknown, and hear it again under the same key; a second
# effect is the fault.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 2

echo "- the platform's answer is lost"
for i in 1 2 3; do
	fault "$platform" '{"fault":"lose_after_write","count":1}'
	book 0 /book "swap-$i"
	echo "effects: $(effects "swap-$i")"
done

echo "- the service's answer is lost"
fault "127.0.0.1:$(port 1)" '{"fault":"lose_answer","count":1}'
fault "127.0.0.1:$(port 2)" '{"fault":"lose_answer","count":1}'
book 0 /book fee
book 0 /book fee
book 1 /book fee
echo "effects: $(effects fee)"

echo "- the answer of a service that honours the derived key is lost"
fault "127.0.0.1:$(port 3)" '{"fault":"lose_answer","count":1}'
load booking /hire --name hire --count 1 --retries 5 --target "$(router 0)" \
	--target "$(router 1)"
echo "effects: $(effects hire-0)"
verify
