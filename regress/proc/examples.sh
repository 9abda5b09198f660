# The example sets pass the check and equal the output of their generator.
B=$1
cd "$(dirname "$0")/../.." || exit 1
D=$(mktemp -d)
trap 'rm -rf "$D"' EXIT
sh examples/generate "$D"
for set in kandy-ringwork fennelly-roche; do
	cmp "$D/$set.json" "examples/$set.json" && echo "$set as generated"
	"$B"/magctl check "examples/$set.json"
done
# The set and the settings in the manual page pass as well.
sed -n '/^A set:/,/^\.Ed/p' man/magnolia.conf.5 | grep -v '^\.\|^A set' |
	"$B"/magctl check -
sed -n '/^Settings:/,/^\.Ed/p' man/magnolia.conf.5 |
	grep -v '^\.\|^Settings' >"$D/magnoliad.json"
"$B"/magnoliad -s "$D/magnoliad.json" --check
