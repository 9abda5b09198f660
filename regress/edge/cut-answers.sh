# Workers break off streams whose answers are complete by their framing: before the
# first event, inside it, inside a later one, and where a stream goes on.  No caller
# may receive such a stream as a whole one; another worker goes on with it.
. edge/lib.sh
STREAM_ATTEMPTS=3
start_centre 3 1 1

cuts() { grep -c "^CUT" "$dir/worker.$1.log"; }

# cut NAME SPEC [SPEC_OF_RESUMED]: prints how many callers received less than a whole
# stream, while engine 1 cuts one stream, and engine 2 one that goes on there.
cut() {
	: >"$dir/calls"
	first=$(cuts 1)
	second=$(cuts 2)
	until [ "$(cuts 1)" -gt $first ] && { [ -z "$3" ] || [ "$(cuts 2)" -gt $second ]; }; do
		curl -s -o "$dir/null" "http://$(worker 1)/stand-in/cut/$2"
		[ -n "$3" ] && curl -s -o "$dir/null" "http://$(worker 2)/stand-in/cut/$3/resumed"
		"$build/tool_calls" "$(echo $1 | tr -d ' ')$(date +%N)" 1 20 $(router 1) >>"$dir/calls"
	done
	echo "$1: $(grep -c "DISORDER" "$dir/calls") as whole, $(grep " s " "$dir/calls" | grep -vc " 200 whole") not served"
}

for framing in close chunked length; do
	cut "$framing, no event" $framing/0/0
	cut "$framing, inside the first event" $framing/0/9
	cut "$framing, inside the sixth event" $framing/5/9
done
cut "close, whole" close/20/0
cut "close, then no event" close/5/9 close/5/0
cut "close, then inside the first event" close/5/9 close/5/9
