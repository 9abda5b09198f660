# Prints the calls that a router accepted and that ended with neither a whole answer
# nor a true refusal, from the logs of routers and workers and the CALL lines.  That is
# a fault in runs in which no worker and no router dies or is cut off.  A call without
# an answer that nobody has a record of was not accepted: its router was about to exit,
# or was not there.
match($0, /"request":"[^"]*"/) { accepted[substr($0, RSTART + 11, RLENGTH - 12)] = 1 }
$1 == "GOT" { accepted[$4] = 1 }
$1 == "CALL" {
	refused = $4 == 408 || $4 == 421 || $4 == 429 || $4 == 503
	if ($5 != "whole" || $6 != "ordered" || $7 != "own" || $4 != 200 && !refused)
		line[$2] = $0
	if ($4 == 0 && $5 != "timeout")
		unanswered[$2] = 1
}
END {
	for (id in line)
		if (!(id in unanswered) || id in accepted) print line[id]
}
