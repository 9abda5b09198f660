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
	CALL refused r 503 whole ordered own
	CALL foreign r 200 whole ordered FOREIGN
	CALL mixed s 200 whole DISORDER own
	CALL fine s 200 whole ordered own
LOGS
