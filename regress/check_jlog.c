#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include "clk.h"
#include "jlog.h"
#include "mag.h"
#include "script.h"

#define LINE_MAX_ 2048
/* More lines than a pipe and the buffer hold; fewer than both, more than one.
 */
#define LINES_WRITTEN 4000
#define LINES_KEPT    1000

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

/* Copies what comes to a file; in a process of its own. */
static void copy(int from, FILE *to)
{
	char bytes[LINE_MAX_];
	ssize_t len;

	while ((len = read(from, bytes, sizeof(bytes))) > 0)
		fwrite(bytes, 1, (size_t)len, to);
	fflush(to);
}

/*
 * "finish": the process ends when the pipe and the buffer are full, and the
 * reader goes on.  Prints whether it gets what both held, and the last lines.
 */
static void finish(FILE *out)
{
	char line[LINE_MAX_] = "";
	FILE *lines = tmpfile();
	const char *name;
	int count = 0;
	int fds[2];
	pid_t reader;

	if (!lines || pipe(fds))
		abort();
	jlog_open("r-1", fds[1], 0);
	while (count++ < LINES_WRITTEN) {
		jlog_fields(LOG_QUAR_SUSPECT, "why=filling");
		jlog_flush();
	}
	jlog(LOG_STOPPED, "\"requests_open\":0");
	reader = fork();
	if (reader == 0) {
		close(fds[1]);
		copy(fds[0], lines);
		_exit(0);
	}
	close(fds[0]);
	jlog_finish(clock_us + MAG_US_PER_S);
	close(fds[1]);
	waitpid(reader, NULL, 0);
	rewind(lines);
	for (count = 0; fgets(line, sizeof(line), lines); count++) {
		name = strstr(line, "\"name");
		if (!strchr(line, '\n') || !name)
			fprintf(out, "a cut line\n");
		else if (!strstr(name, "filling"))
			fprintf(out, "%.*s\n", (int)strcspn(name, ","), name);
	}
	fprintf(out, "%s\n", count > LINES_KEPT ? "all that both held" : "few");
	fclose(lines);
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
		if (strncmp(line, "finish", 6) == 0)
			finish(out);
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
