# Counts the messages (MESSAGE lines) that a worker received during the backoffs
# that it requested (BACKOFF lines), of one router; input is sorted by time.
# What arrives within half a second of the request may have been in transit.
$1 == "BACKOFF" {
	n = ++backoffs
	who[n] = $2
	from[n] = $3 + 5e5
	to[n] = $3 + $4 * 1e6
}
$1 == "MESSAGE" {
	during = 0
	for (i = backoffs; i > 0; i--)
		during += who[i] == $2 && $3 > from[i] && $3 < to[i]
	if (during) {
		messages++
		print "during a backoff of " $2 ": " $4 > "/dev/stderr"
	}
}
END {
	print backoffs ? "backoffs were requested" : "no backoff was requested"
	print "messages during them: " messages + 0
}
