# Checks the comparison itself: it detects each kind of violation in made-up
# logs.
awk -v least=0 -f edge/promises.awk <<-LOGS
	RUN twice w-1 POST
	RUN twice w-2 POST
	RUN refused w-1 GET
	TOKEN gap w-1.1 1 0 10 5
	TOKEN gap w-1.1 1 15 20 6
	TOKEN again w-1.1 1 0 10 7
	TOKEN again w-1.1 1 0 10 8
	TOKEN often w-1.2-0 1 0 20 9
	TOKEN often w-2.1-0 1 0 20 10
	TOKEN often w-3.1-0 1 0 20 11
	TOKEN passed-on w-1.3-0 1 0 10 12
	REFUSED passed-on w-1.3
	TOKEN stalled w-1.4-0 1 0 10 13
	TOKEN refused-late w-1.5-0 1 0 10 14
	TOKEN refused-late w-1.5-0 1 10 20 15
	REFUSED refused-late w-1.5
	TOKEN refused-twice w-1.6-0 1 0 10 16
	REFUSED refused-twice w-1.6
	TOKEN refused-twice w-2.7-0 1 0 10 17
	CALL refused r 503 whole ordered own
	CALL passed-on s 503 whole ordered own
	CALL stalled s 503 whole ordered own
	CALL refused-late s 503 whole ordered own
	CALL refused-twice s 503 whole ordered own
	CALL foreign r 200 whole ordered FOREIGN
	CALL mixed s 200 whole DISORDER own
	CALL fine s 200 whole ordered own
LOGS
# The same for calls that were given up.
awk -f edge/given-up.awk <<-LOGS | sort
	{"event":10003,"request":"accepted","status":0}
	GOT w-1 5 at-worker
	CALL whole s 200 whole ordered own 1
	CALL refused s 503 whole ordered own 1
	CALL not-accepted s 0 broken ordered own 1
	CALL not-sent s 0 unsent ordered own 1
	CALL accepted s 0 broken ordered own 1
	CALL at-worker b 0 unsent ordered own 1
	CALL cut s 200 broken ordered own 1
	CALL half-refused s 503 broken ordered own 1
	CALL failed r 502 whole ordered own 1
	CALL late r 504 whole ordered own 1
	CALL silent s 0 timeout ordered own 1
LOGS
