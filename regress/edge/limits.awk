# Counts the requests (GOT lines) that a worker received while it stated a limit
# (LIMIT lines); input is sorted by time.  From 3 s after the limit was first
# stated, any 4 s may contain one and a half times the requests that the limit
# allows, and 5 more.
function judge(i, n) {
	if (at - named[w] < 3e6)
		return
	n = 0
	for (i = got[w]; i > 0 && when[w, i] > at - 4e6; i--)
		n++
	if (n > most[w])
		most[w] = n
	if (n > 1.5 * 4 * limit[w] + 5)
		broken[w]++
}
{ w = $2; at = $3 }
$1 == "LIMIT" && $4 == "none" { delete limit[w] }
$1 == "LIMIT" && $4 != "none" {
	if (!(w in limit)) {
		named[w] = at
		limited[w] = 1
	}
	limit[w] = $4
}
$1 == "GOT" {
	when[w, ++got[w]] = at
	if (w in limit)
		judge()
}
END {
	for (w in limited) {
		workers++
		over += broken[w] > 0
		printf "%s: at most %d in 4 s\n", w, most[w] > "/dev/stderr"
	}
	printf "workers with a limit: %d, of these over it: %d\n", workers, over
}
