# Reads the log of a played day (fleetbench run --log all) and prints for each
# service the requests, the sends after the first of a request, how many of
# these a router counted as the first, too, and the worst window: sends after
# the first, what is allowed, and the fraction that was used.  Variables: ratio,
# slack and window (seconds) of the retry budget.  Counts lines that it cannot
# read.

function field(name, rest) {
	rest = $0
	if (!sub(".*\"" name "\":\"?", "", rest))
		return ""
	sub(/["},].*/, "", rest)
	return rest
}

# Lines of two routers may be mixed up.
/"t_ms".*"t_ms"/ || !/}$/ || $1 !~ /^-?[0-9]+\.[0-9]+$/ {
	unreadable++
	next
}

/"event":10001,/ {
	id = field("request")
	service = field("service")
	if (service == "")
		service = field("hops") > 1 ? "chains" : "plain"
	names[service] = 1
	# Lines of one moment are not in order between routers.
	if (field("repeat") == "" ? field("send") == 1 : field("repeat") == "false")
		miscounted[service] += counted_first[id]++ > 0
	if (!(id in seen)) {
		seen[id] = 1
		requests[service, count[service]++] = $1
		next
	}
	repeats[service, again[service]++] = $1
}

# Requests of a service from a time on, until another one.
function requests_in(service, from, to, n, i) {
	n = 0
	for (i = 0; i < count[service]; i++)
		n += requests[service, i] >= from && requests[service, i] < to
	return n
}

function max(a, b) {
	return a > b ? a : b
}

END {
	for (service in names) {
		worst = 0
		allowed = slack
		worst_part = 0
		last = 0
		for (i = 0; i < again[service]; i++) {
			from = repeats[service, i]
			while (last < again[service] && repeats[service, last] < from + window)
				last++
			# Only windows that hold more can be worse.
			if ((last - i) / slack <= worst_part)
				continue
			n = requests_in(service, from, from + window)
			n = max(n, requests_in(service, from - window, from))
			n = max(n, requests_in(service, from - window / 2, from + window / 2))
			part = (last - i) / (ratio * n + slack)
			if (part > worst_part) {
				worst_part = part
				worst = last - i
				allowed = ratio * n + slack
			}
		}
		printf "%s requests %d repeats %d miscounted %d worst %d allowed %d part %.2f\n", service, count[service], again[service], miscounted[service], worst, allowed, worst_part
	}
	if (unreadable)
		print "unreadable " unreadable
}
