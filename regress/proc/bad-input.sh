# Callers send malformed or oversized requests.  Each must be refused with a
# clear status without any effect on other callers; a crash would cut every
# stream of the instance.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 1
at=http://$(router 0)

echo "- no route, no account, a wrong account"
send_request GET "$at/nothing"
curl -s -m 5 -o /dev/null -w '%{http_code}\n' "$at/lookup"
key=wrong send_request GET "$at/lookup"
echo "- no key where one is required"
send_request POST "$at/book" -d '{"intent":"x"}'
echo "- broken JSON, no prompt, wrong types"
send_request POST "$at/score" -d '{"prompt":'
send_request POST "$at/score" -d '{"max_tokens":4}'
send_request POST "$at/score" -d '{"prompt":7,"max_tokens":"many"}'
send_request POST "$at/score" -d '[]'
echo "- a body over the limit"
head -c 2000000 /dev/zero | tr '\0' 'x' >"$work/big"
send_request POST "$at/score" --data-binary "@$work/big"
echo "- a key over the limit"
send_request POST "$at/book" -H "Idempotency-Key: $(head -c 3000 "$work/big")" -d '{}'
echo "- a head over the limit"
send_request GET "$at/lookup" -H "X-Long: $(head -c 60000 "$work/big")"
echo "- no HTTP at all"
for text in 'GARBAGE' 'GET / HTTP/9.9' 'POST /book HTTP/1.1\r\nContent-Length: -5'; do
	printf "$text\r\n\r\n" |
		curl -s -m 1 "telnet://$(router 0)" | head -c 0
done
echo "- the router goes on"
send_request GET "$at/lookup?intent=x"
load stream /score --name tune --count 1 --tokens 4 --target "$(router 0)"
signal router-0 TERM
wait_exit router-0
echo "exit status $?"
verify
