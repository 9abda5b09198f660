# A settings file has a wrong type, a misspelt name and two listeners with the
# same address: the router reports all three, starts nothing and exits with 2.
B=$1
D=$(mktemp -d)
trap 'rm -rf "$D"' EXIT
cat >"$D/magnoliad.json" <<'END'
{"cluster": "t", "instance": "r1", "data_centre": "dc1",
 "listen": "127.0.0.1:23531", "admin": "127.0.0.1:23531",
 "rpc": "127.0.0.1:23533", "platform": ["127.0.0.1:23530"],
 "threads": "many", "shutdown_notice": 5}
END
for action in --check --seed=1; do
	"$B"/magnoliad -s "$D/magnoliad.json" $action 2>"$D/err"
	echo "exit $?"
	sed 's/.*magnoliad\[[0-9]*\]: //' "$D/err"
done
"$B"/magnoliad -s "$D/magnoliad.json" --nosuch 2>"$D/err"
echo "exit $?"
sed 's/.*magnoliad\[[0-9]*\]: //' "$D/err"
"$B"/magnoliad --version
"$B"/magnoliad --help | head -n 1 | sed 's|: .*/|: |'
