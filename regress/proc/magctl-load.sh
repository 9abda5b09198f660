# Two accounts send requests; an endpoint's owner queries the load per account,
# the bound of the service, and how a request would be routed now.  Wrong
# counts would make the owner attribute the load to another account's callers.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 2
MAGNOLIA_PLATFORM=$platform
MAGNOLIA_ADMIN=$(admin 0),$(admin 1)
export MAGNOLIA_PLATFORM MAGNOLIA_ADMIN
for i in 1 2 3; do
	send_booking 0 /book "choir-$i"
done
key=ringers-key send_booking 1 /book ringers-1
send_booking 1 /book choir-4
send_booking 0 /book choir-1
key=nobody send_booking 0 /book nobody-1
load stream /score --name tune --count 4 --concurrency 1 --tokens 5 \
	--target "$(router 0)"
echo "- shares"
# Times and the endpoint of each request vary between runs; the sums do not.
"$build/magctl" shares >"$work/shares"
awk 'NR == 1 { next }
	$3 ~ /^(exchange|engine)-/ { at = $1 " " $2; runs[at] += $4
		tokens[at] += $5; next }
	{ print $1, $2, "offered", $3, "admitted", $4 }
	END { for (at in runs)
		print at, "runs", runs[at], "tokens", tokens[at] }' \
	"$work/shares" | sort
echo "- bound"
"$build/magctl" bound | awk '$1 == "score-model" { print $1, $2, $3 }'
echo "- explain"
"$build/magctl" explain --service=score-model | awk '{ print $1, $2, $3, $4 }'
"$build/magctl" explain --service exchange-app | wc -l
