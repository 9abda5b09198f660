#ifndef HEAD_H
#define HEAD_H

/*
 * Whether libcurl has received the whole head of a response.  If the connection
 * closes inside the head, libcurl reports a success without a body, with the
 * status of the first line.
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
