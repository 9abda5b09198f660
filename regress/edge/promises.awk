# Compares what callers saw (CALL lines) with what workers did (RUN, TOKEN and
# REFUSED lines) and prints for each guarantee how often it was violated.
$1 == "RUN" && $4 == "POST" { runs[$2]++ }
$1 == "RUN" { ran[$2] = 1 }
# A run of a stream is counted at the first token that passed the last layer.  A
# run that continues on a repaired chain is the same run; the number after the
# dash counts its chains.
$1 == "TOKEN" {
	run = $3
	sub(/-[0-9]+$/, "", run)
	passed[$2, run] = $2
}
$1 == "TOKEN" && $6 == 20 {
	ran[$2] = 1
	if (!(($2, run) in began)) {
		began[$2, run] = 1
		times[$2]++
	}
}
$1 == "RUN" { times[$2]++ }
# A run whose token has passed layers of some workers only has begun, unless its
# first worker refused it for another one.
$1 == "REFUSED" { not_begun[$2, $3] = 1 }
$1 == "TOKEN" {
	key = $2 " " $3 " " $4
	if ($5 != at[key] + 0)
		layers++
	at[key] = $6
}
$1 == "CALL" {
	calls++
	if ($3 != "s" && $4 == 200) answered++
	if ($3 == "s" && $4 == 200 && $5 == "whole") streams++
	if ($6 == "DISORDER" && $5 == "whole") disorder++
	if ($6 == "DISORDER" && $5 != "whole") disorder_cut++
	if ($7 == "FOREIGN") foreign++
	if ($4 == 503 || $4 == 429 || $4 == 408 || $4 == 421) refused[$2] = 1
}
END {
	for (id in runs) if (runs[id] > 1) twice++
	for (run in passed) if (!(run in not_begun)) ran[passed[run]] = 1
	for (id in refused) if (id in ran) untrue++
	for (id in times) if (times[id] > 2) often++
	printf "bookings run twice: %d\n", twice
	printf "refusals of what ran: %d\n", untrue
	printf "answers of another request: %d\n", foreign
	printf "streams out of order: %d\n", disorder + disorder_cut
	printf "tokens with layers missing or twice: %d\n", layers
	printf "requests run more often than routes allow: %d\n", often
	part = calls ? (answered + streams) / calls : 0
	print (part >= least ? "enough" : "too little") " was served"
	if (detail) printf "served %d of %d, streams %d, plain %d, refused %d\n", answered + streams, calls, streams, answered, length(refused) > "/dev/stderr"
}
