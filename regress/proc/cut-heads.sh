# Guards against an answer that breaks off inside its head: libcurl takes it for a whole
# one without a body.  No caller may be told so.
. "$(dirname "$0")/lib.sh"
init "$1"
start_all 1
# cut_answers "OFFSET..." BYTES COUNT: so many answers at these ports are cut.
cut_answers() {
	for offset in $1; do
		inject_fault "127.0.0.1:$(port $offset)" "{\"fault\":\"cut\",\"value\":$2,\"count\":$3}"
	done
}
# parts NAME: sends requests whose answers are cut after more bytes each time, inside the
# status line, in or after a field, and counts those that are told to be whole.
parts() {
	: >"$work/$1"
	for at in 30 24 45 60 90 20 14; do
		cut_answers "1 2 3" $at 9
		$1 $at >>"$work/$1"
		cut_answers "1 2 3" 0 0
		sleep 1
	done
	echo "$1: parts taken for whole answers: $(grep -c '^200' "$work/$1")"
	cat "$work/$1" >&2
}
lookup() { send_request GET "http://$(router 0)/lookup/$1"; }
booking() { send_booking 0 /book "cut-$1"; }
parts booking
sleep 8
parts lookup
verify
