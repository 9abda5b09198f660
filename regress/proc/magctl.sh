# Runs magctl against two routers and a platform: a first set, a change, a
# concurrent change, a lost answer, an outage.  Prints the output and the exit
# code of each command, which scripts rely on.
. "$(dirname "$0")/lib.sh"
init "$1"
cd "$(dirname "$0")/../.." || exit 1
B=$build
D=$work
MAGNOLIA_PLATFORM=$platform
MAGNOLIA_ADMIN=127.0.0.1:$(port 32),127.0.0.1:$(port 35)
USER=nimal
export MAGNOLIA_PLATFORM MAGNOLIA_ADMIN USER

start platform "$B"/fake_platform --port "$base"
until_ok responds "$platform/stats"
for i in 1 2; do
	at=$((28 + 3 * i))
	start r$i "$B"/magnoliad --cluster t --instance r$i \
		--data-centre dc$i --listen "127.0.0.1:$(port $at)" \
		--admin "127.0.0.1:$(port $((at + 1)))" \
		--rpc "127.0.0.1:$(port $((at + 2)))" --platform "$platform" \
		--shutdown-notice-ms 0
	until_ok responds "127.0.0.1:$(port $((at + 1)))/healthz"
done

# run ARGUMENT...: runs magctl and prints its output and exit code; ids, times
# and ports, which vary between runs, are replaced.
run() {
	echo "\$ magctl $*" | sed "s|$D/||g"
	"$B"/magctl "$@" >"$D/out" 2>"$D/err"
	code=$?
	sed -e "s|$D/||g" -e "s/:$(port 32)/:ADMN1/g" \
		-e "s/:$(port 35)/:ADMN2/g" -e 's/[0-9a-f]\{32\}/ID/g' \
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
	"http://$platform/control"
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
signal platform TERM
wait_exit platform
run get --timeout-ms 300
run apply "$D/changed.json" --timeout-ms 300
run status | cut -c 1-57
# The first instance hangs; the status of the second one must still be shown,
# or the operator would assume that the whole fleet is lost.
signal r1 STOP
run status | cut -c 1-57
