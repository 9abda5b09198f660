#include <strings.h>

#include "head.h"

/*
 * Notes a line as the header callback receives it.  An empty one ends a head; a
 * status line begins one, also after an interim response.
 */
void head_on_line(struct head *head, const char *line, size_t len)
{
	if (len >= 5 && strncasecmp(line, "HTTP/", 5) == 0)
		head->whole = false;
	else if (len <= 2 && (len == 0 || line[0] == '\r' || line[0] == '\n'))
		head->whole = true;
}

/* Returns the result of a transfer; a success needs a whole head. */
CURLcode head_check(const struct head *head, CURLcode code)
{
	return code == CURLE_OK && !head->whole ? CURLE_PARTIAL_FILE : code;
}
