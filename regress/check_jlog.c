#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "clk.h"
#include "jlog.h"
#include "mag.h"
#include "script.h"

#define LINE_MAX_ 2048

static int64_t clock_us;

/* The clocks of the log are the script's. */
int64_t clk_boot_us(void)
{
	return clock_us;
}

int64_t clk_wall_ms(void)
{
	return clock_us / MAG_US_PER_MS;
}

/* Prints the members of the lines that are read, except the time. */
static void print_lines(int fd, FILE *out)
{
	char line[LINE_MAX_];
	const char *members;
	char *end;
	char *at;
	ssize_t len = read(fd, line, sizeof(line) - 1);

	if (len <= 0) {
		fprintf(out, "no line\n");
		return;
	}
	line[len] = '\0';
	for (at = line; (end = strchr(at, '\n')); at = end + 1) {
		*end = '\0';
		members = strchr(at, ',');
		fprintf(out, "%s\n", members ? members + 1 : at);
	}
}

/*
 * "fields TEXT": logs an event with key=value fields; "limit N": lines a
 * second; "next": a second passes.
 */
static void drive(FILE *in, FILE *out)
{
	char line[LINE_MAX_];
	int fds[2];

	if (pipe(fds) || fcntl(fds[0], F_SETFL, O_NONBLOCK))
		abort();
	jlog_open("r-1", fds[1], 0);
	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		line[strcspn(line, "\n")] = '\0';
		if (strncmp(line, "limit ", 6) == 0)
			jlog_open("r-1", fds[1], atoi(line + 6));
		if (strncmp(line, "next", 4) == 0)
			clock_us += MAG_US_PER_S;
		if (strncmp(line, "fields ", 7) != 0)
			continue;
		jlog_fields(LOG_QUAR_SUSPECT, line + 7);
		jlog_flush();
		print_lines(fds[0], out);
	}
	close(fds[0]);
	close(fds[1]);
}

int main(void)
{
	return script_main("regress/jlog", drive);
}
