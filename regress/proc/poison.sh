# One request crashes every engine that runs it, and its caller keeps resending
# it through both routers.  The fleet may lose a bounded number of engines to
# it; after that the request is refused at once, and other requests are served.
. "$(dirname "$0")/lib.sh"
init "$1"
poison="--poison badtune"
start_all 2
echo "- the poisonous request, sent ten times"
i=0
while [ $i -lt 10 ]; do
	send_request POST "http://$(router $((i % 2)))/score" \
		-d '{"prompt":"badtune","max_tokens":4,"stream":false}' \
		>>"$work/poison"
	i=$((i + 1))
	sleep 0.2
done
tail -n 1 "$work/poison"
dead=0
for i in 0 1 2 3 4 5; do
	responds "127.0.0.1:$(engine_port $i)/v1/state" || dead=$((dead + 1))
done
echo "engines lost: $dead"
echo "- the engines are started again, and the others' requests go on"
for i in 0 3; do
	responds "127.0.0.1:$(engine_port $i)/v1/state" || start_engine $i
done
load stream /score --name tune --count 8 --concurrency 2 --tokens 4 \
	--retries 8 --target "$(router 0)" --target "$(router 1)"
verify
