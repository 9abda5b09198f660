# A load balancer keeps connections open between requests, and each of them
# occupies a thread of the router while it waits for the next request.  With as
# many idle connections as threads, a new caller would wait seconds for its
# first byte although the router is idle.
. "$(dirname "$0")/lib.sh"
init "$1"
write_set
start_platform
start_plain 1
start_plain 2
threads=4
start_router 0
until_ok apply
until_ok ready 0

# Open four connections and leave them idle after their first answer.
bash -c '
for n in 1 2 3 4; do
	eval "exec $((n + 3))<>/dev/tcp/127.0.0.1/$1"
	printf "GET /lookup/$n HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer choir-key\r\n\r\n" >&$((n + 3))
	read -r -u $((n + 3)) line
	echo "${line%$(printf "\r")}"
done
echo "- a fifth caller"
curl -s -m 3 -o /dev/null -w "%{http_code}\n" \
	-H "Authorization: Bearer choir-key" "http://127.0.0.1:$1/lookup/5"
' sh "$(port 30)"
