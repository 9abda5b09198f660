# During continuous load an operator drains an engine, and the platform's list
# reports another one as leaving.  After a few seconds neither may receive new
# work: an engine that is switched off with new streams on it cuts them.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 2
load stream /score --name evening --count 80 --concurrency 4 --tokens 4 \
	--rate 10 --target "$(router 0)" --target "$(router 1)" \
	>"$work/evening" &
streams=$!
sleep 1
write_set drain
apply || echo "apply failed"
curl -s -m 2 -X PUT "http://$platform/instances" -d '{"instances":[
	{"name":"engine-4","address":"127.0.0.1:'"$(engine_port 4)"'",
	 "data_centre":"dc-a","state":"leaving","kind":"endpoint"}]}'
sleep 3
before=$(wc -l <"$record")
wait $streams
cat "$work/evening"
later() {
	tail -n "+$((before + 1))" "$record" | grep -c "endpoint=$1 "
}
echo "tokens on engine-0: $(later engine-0)"
echo "tokens on engine-4: $(later engine-4)"
[ "$(later engine-3)" -gt 0 ] && echo "the others work on"
verify
