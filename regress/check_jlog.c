#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "jlog.h"
#include "script.h"

#define LINE_MAX_ 2048

/* Prints the members of one line except the time. */
static void print_line(int fd, FILE *out)
{
	char line[LINE_MAX_];
	const char *members;
	ssize_t len = read(fd, line, sizeof(line) - 1);

	if (len <= 0) {
		fprintf(out, "no line\n");
		return;
	}
	line[len] = '\0';
	members = strchr(line, ',');
	fprintf(out, "%s", members ? members + 1 : line);
}

/* "fields TEXT": logs an event with key=value fields. */
static void drive(FILE *in, FILE *out)
{
	char line[LINE_MAX_];
	int fds[2];

	if (pipe(fds))
		abort();
	jlog_open("r-1", fds[1], 0);
	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		line[strcspn(line, "\n")] = '\0';
		if (strncmp(line, "fields ", 7) != 0)
			continue;
		jlog_fields(LOG_QUAR_SUSPECT, line + 7);
		jlog_flush();
		print_line(fds[0], out);
	}
	close(fds[0]);
	close(fds[1]);
}

int main(void)
{
	return script_main("regress/jlog", drive);
}
