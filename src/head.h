#ifndef HEAD_H
#define HEAD_H

/*
 * Whether libcurl has received the whole head of a response.
 *
 * Failure guarded against: an endpoint breaks off in the middle of the head and
 * closes the connection.  libcurl takes what came for a whole response without
 * a body, with the status of its first line.
 */

#include <stdbool.h>
#include <stddef.h>

#include <curl/curl.h>

struct head {
	bool whole;
};

void head_on_line(struct head *head, const char *line, size_t len);
CURLcode head_check(const struct head *head, CURLcode code);

#endif /* HEAD_H */
