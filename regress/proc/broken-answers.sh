# Guards against answers that are no HTTP/1.1 and are passed on by magnoliad, or answered
# with a promise that nothing ran, or taken for a crash; and against such answers of its
# platform that are used.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 1
# odd "OFFSET..." NUMBER COUNT: breaks so many answers at these ports, see fk.c.
odd() {
	for offset in $1; do
		inject_fault "127.0.0.1:$(port $offset)" "{\"fault\":\"odd\",\"value\":$2,\"count\":$3}"
	done
}
lookup() { send_request GET "http://$(router 0)/lookup/$1"; }
booking() { send_booking 0 /book "odd-$1"; }
stream() { send_request POST "http://$(router 0)/score" -H 'Content-Type: application/json' -d '{"prompt":"odd '$1'","max_tokens":4}'; }
# try KIND "OFFSET..." "NUMBER...": what callers of this kind are told of broken answers.
try() {
	for number in $3; do
		until_ok served $1
		odd "$2" $number 9
		told=$($1 $number)
		odd "$2" 0 0
		case $told in
		*" unknown"*) ;;
		*) echo "$1 $number: $told" ;;
		esac
	done
	echo "$1: tried"
}
served() { [ "$($1 sound$(date +%N) | cut -c1-3)" = 200 ]; }
try booking "1 2" "$(seq 0 10)"
try lookup "1 2" "0 4 8 10"
try stream "10 11 12 13 14 15" "0 4 9 10"
echo "requests held to be harmful: $(count_log router-0 ' request-suspected ')"
odd 0 4 -1
apply && echo "platform: a broken answer counts"
odd 0 0 0
until_ok apply && echo "platform: whole answers do"
verify
