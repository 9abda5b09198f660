# An instance receives heartbeats of its peer that were altered on their way.
# It must not believe them: the incarnation of an altered one counted for as
# long as the peer ran, and the instance dropped all that the peer sent, so that
# neither used more of a limit than its own part.
. "$(dirname "$0")/lib.sh"
init "$1"
write_set
sed 's|^\]}$|,{"kind":"limit","name":"choir-rate","account":"choir",\
	 "requests_per_s":60}]}|' "$set" >"$work/limited.json"
mv "$work/limited.json" "$set"
start_platform
start_plain 1
start_plain 2
apply || echo "apply failed"
register_routers 3
for i in 0 1 2; do
	start_router $i
done
for i in 0 1 2; do
	until_ok ready $i
done

# served: tells whether the first instance, the only one that is called, serves
# more than two thirds of the limit for 4 s; its part is one third.
served() {
	load lookup /lookup --target "$(router 0)" --count 240 \
		--rate 60 --concurrency 16 --retries 0 >"$work/served"
	cat "$work/served" >&2
	[ "$(sed -n 's/^ran //p' "$work/served")" -gt 160 ] && echo yes || echo no
}

served >/dev/null # its demand makes its peers leave it their parts
echo "- before"
served
echo "- altered heartbeats of both peers"
"$build/tool_heartbeat" $((base + 35)) $((base + 32)) 300 7
"$build/tool_heartbeat" $((base + 38)) $((base + 32)) 300 8
served >/dev/null
served
