# The operators' tool against two routers and a platform: a first set, a
# change, a race, a lost answer, an outage.  What an operator sees at each
# step, and the exit code that a script can rely on.
B=$1
cd "$(dirname "$0")/../.." || exit 1
D=$(mktemp -d)
plat=127.0.0.1:23500
MAGNOLIA_PLATFORM=$plat
MAGNOLIA_ADMIN=127.0.0.1:23511,127.0.0.1:23512
USER=nimal
export MAGNOLIA_PLATFORM MAGNOLIA_ADMIN USER

"$B"/fake_platform --port 23500 2>"$D/platform.log" &
platform=$!
routers=
for i in 1 2; do
	"$B"/magnoliad --cluster t --instance r$i --data-centre dc$i \
		--listen 127.0.0.1:2350$i --admin 127.0.0.1:2351$i \
		--rpc 127.0.0.1:2352$i --platform $plat \
		--shutdown-notice-ms 0 2>"$D/r$i.log" &
	routers="$routers $!"
done
stop() {
	kill $platform $routers 2>/dev/null
	wait
	rm -rf "$D"
}
trap stop EXIT
for port in 23500/stats 23511/healthz 23512/healthz; do
	until curl -s -o "$D/up" "http://127.0.0.1:$port"; do sleep 0.05; done
done

# Runs the tool and tells the exit code; ids and times differ from run to run.
run() {
	echo "\$ magctl $*" | sed "s|$D/||g"
	"$B"/magctl "$@" >"$D/out" 2>"$D/err"
	code=$?
	sed -e "s|$D/||g" -e 's/[0-9a-f]\{32\}/ID/g' \
		-e 's/[0-9-]*T[0-9:]*Z/TIME/' -e 's/"time_ms":[0-9]*/"time_ms":N/' \
		"$D/out" "$D/err"
	echo "exit $code"
}

run status | cut -c 1-57
run get
sed 's/"weight": 4/"weight": 0/; s/"type": "plain"/"typ": "plain"/' \
	regress/cfg/base.json >"$D/bad.json"
run check "$D/bad.json"
run check --json "$D/bad.json"
run apply "$D/bad.json"
run apply regress/cfg/base.json --wait --note "first set"
run status | cut -c 1-57
run get account/town
run get account/nobody
"$B"/magctl get >"$D/mine.json"
"$B"/magctl get | sed 's/"weight":1}/"weight":2}/' >"$D/theirs.json"
sed 's/"weight":4/"weight":5/' "$D/mine.json" >"$D/changed.json"
run diff "$D/changed.json"
run apply "$D/changed.json" --wait --json
run apply "$D/changed.json"
run apply "$D/theirs.json"
run apply "$D/theirs.json" --merge
run diff "$D/mine.json" --revision 1
run apply regress/cfg/base.json
curl -s -o "$D/up" -d '{"fault":"lose_after_write","count":1}' \
	"http://$plat/control"
run apply regress/cfg/base.json --replace --wait
run history
run history --count 1 --json
run get --revision 9
echo '{"objects": []}' | run diff -
run get --platform nowhere
run apply "$D/none.json"
printf '{"objects": []}\0{' >"$D/torn.json"
run check "$D/torn.json"
run check /
run history --count many
run nosuch
kill $platform
wait $platform
run get --timeout-ms 300
run apply "$D/changed.json" --timeout-ms 300
run status | cut -c 1-57
