# Reads the log of a played day (fleetbench run --log all) and prints for each
# service the requests, the sends after the first of a request, how many of
# these a router counted as the first, too, and the worst window: sends after
# the first, what is allowed, and the fraction that was used.  Variables: ratio,
# slack and window (seconds) of the retry budget.  "counted" is the number of
# retries that the routers took and kept, over all services.  Counts the lines that it
# cannot read and those that routers dropped.

BEGIN {
	sends = 0
}

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

/"event":8005,/ {
	dropped += field("lines")
}

/"event":10001,/ {
	id = field("request")
	service[sends] = field("service")
	if (service[sends] == "")
		service[sends] = field("hops") > 1 ? "chains" : "plain"
	at[sends] = $1
	request[sends] = id
	first[sends] = field("repeat") == "" ? field("send") == 1 : field("repeat") == "false"
	counted += !first[sends]
	newest[id, $2, field("worker")] = sends++
}

# No byte of a router's last send of the request to this worker was sent; it may
# have sent it to another one since.
/"event":10009,/ {
	id = field("request")
	counted -= field("repeat") == "true"
	worker = field("worker")
	if ((id, $2, worker) in newest)
		taken_back[newest[id, $2, worker]] = 1
}

# Sorts the sends into first ones and repeats of each service.  Lines of one
# moment are not in order between routers.
function sort_sends(i, name, id) {
	for (i = 0; i < sends; i++) {
		if (i in taken_back)
			continue
		id = request[i]
		name = service[i]
		names[name] = 1
		if (first[i])
			miscounted[name] += counted_first[id]++ > 0
		if (!(id in seen)) {
			seen[id] = 1
			requests[name, count[name]++] = at[i]
			continue
		}
		repeats[name, again[name]++] = at[i]
	}
}

# Requests of a service from a time on, until another one.
function requests_in(name, from, to, n, i) {
	n = 0
	for (i = 0; i < count[name]; i++)
		n += requests[name, i] >= from && requests[name, i] < to
	return n
}

function max(a, b) {
	return a > b ? a : b
}

END {
	sort_sends()
	for (name in names) {
		worst = 0
		allowed = slack
		worst_part = 0
		last = 0
		for (i = 0; i < again[name]; i++) {
			from = repeats[name, i]
			while (last < again[name] && repeats[name, last] < from + window)
				last++
			# Only windows that hold more can be worse.
			if ((last - i) / slack <= worst_part)
				continue
			n = requests_in(name, from, from + window)
			n = max(n, requests_in(name, from - window, from))
			n = max(n, requests_in(name, from - window / 2, from + window / 2))
			part = (last - i) / (ratio * n + slack)
			if (part > worst_part) {
				worst_part = part
				worst = last - i
				allowed = ratio * n + slack
			}
		}
		printf "%s requests %d repeats %d miscounted %d worst %d allowed %d part %.2f\n", name, count[name], again[name], miscounted[name], worst, allowed, worst_part
	}
	print "counted " counted + 0
	if (unreadable)
		print "unreadable " unreadable
	# A send that was taken back in a line that was dropped shows as miscounted.
	if (dropped)
		print "dropped " dropped
}
