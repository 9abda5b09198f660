#ifndef CHECK_MSGS_H
#define CHECK_MSGS_H

#include <stdbool.h>
#include <stdio.h>

/*
 * Fails if a numbered message of a validator occurs in no expected output of a
 * directory: a message that no test triggers could be wrong without notice.
 */

#define MSGS_MAX 256

/* Marks the message number at the end of each line of an expected output. */
static void note_numbers(const char *path, bool *seen)
{
	char line[1024];
	FILE *file = fopen(path, "r");

	assert_non_null(file);
	while (fgets(line, sizeof(line), file)) {
		const char *number = strrchr(line, '(');
		int n = number ? (int)strtol(number + 1, NULL, 10) : 0;

		if (n > 0 && n < MSGS_MAX)
			seen[n] = true;
	}
	fclose(file);
}

static void check_msgs(const char *folder, const int *numbers, size_t count)
{
	bool seen[MSGS_MAX] = { false };
	DIR *dir = opendir(folder);
	struct dirent *entry;
	char path[512];
	size_t i;

	assert_non_null(dir);
	while ((entry = readdir(dir))) {
		snprintf(path, sizeof(path), "%s/%s", folder, entry->d_name);
		if (strstr(entry->d_name, ".out"))
			note_numbers(path, seen);
	}
	closedir(dir);
	for (i = 0; i < count; i++) {
		if (!seen[numbers[i]])
			fail_msg("message %d has no bad set", numbers[i]);
	}
}

#endif /* CHECK_MSGS_H */
