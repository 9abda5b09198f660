#include <arpa/inet.h>
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chk.h"
#include "mag.h"

#define CHK_UTF8_MAX 4 /* bytes of a character */
/* A file that is written in place is whole by then. */
#define CHK_SETTLE_US MAG_US_PER_S

/* Returns true if a string is a valid name of an object, group or instance. */
bool chk_name(const char *name)
{
	size_t len = strlen(name);
	size_t i;

	if (len == 0 || len >= MAG_NAME_MAX)
		return false;
	for (i = 0; i < len; i++) {
		if (islower((unsigned char)name[i]) ||
		    isdigit((unsigned char)name[i]))
			continue;
		if (i == 0 || !strchr("-_.", name[i]))
			return false;
	}
	return true;
}

/*
 * Returns true if a string is an IP address and a port.  Host names are
 * refused because the router does not resolve names.
 */
bool chk_address(const char *address)
{
	unsigned char ip[sizeof(struct in6_addr)];
	char host[MAG_ADDR_MAX];
	const char *colon = strrchr(address, ':');
	size_t digits;
	size_t len;
	int family = AF_INET;

	if (!colon)
		return false;
	digits = strspn(colon + 1, "0123456789");
	if (digits < 1 || digits > 5 || colon[1 + digits] != '\0')
		return false;
	if (atoi(colon + 1) < 1 || atoi(colon + 1) > 65535)
		return false;
	len = (size_t)(colon - address);
	if (len > 2 && address[0] == '[' && address[len - 1] == ']') {
		family = AF_INET6;
		address++;
		len -= 2;
	}
	if (len == 0 || len >= sizeof(host))
		return false;
	memcpy(host, address, len);
	host[len] = '\0';
	return inet_pton(family, host, ip) == 1;
}

/*
 * Parses a JSON text strictly: duplicate fields and NUL bytes are errors.  The
 * library treats a NUL byte after a number as white space, but for code that
 * treats the text as a string it ends there, so that the two would read
 * different sets.  On errors returns NULL and sets the error's line, text and
 * position; the position of a NUL byte is 0.
 */
json_t *chk_json(const char *text, size_t len, json_error_t *error)
{
	const char *nul = memchr(text, '\0', len);
	const char *at = text;

	if (!nul)
		return json_loadb(text, len, JSON_REJECT_DUPLICATES, error);
	memset(error, 0, sizeof(*error));
	error->line = 1;
	while ((at = memchr(at, '\n', (size_t)(nul - at)))) {
		error->line++;
		at++;
	}
	snprintf(error->text, sizeof(error->text), "a NUL byte");
	return NULL;
}

/*
 * Tells whether an error of a text of len bytes is its end, so that more bytes
 * could mend it: an early end, or a word, number, escape or character that has
 * begun.  A character of several bytes is reported at its first one.
 */
bool chk_json_is_cut(const json_error_t *error, const char *text, size_t len)
{
	size_t position = (size_t)error->position;

	switch (json_error_code(error)) {
	case json_error_premature_end_of_input:
		return true;
	case json_error_invalid_utf8:
		return position + CHK_UTF8_MAX > len;
	case json_error_invalid_syntax:
		return position >= len && len > 0 && text[len - 1] != '\0' &&
		       (isalnum((unsigned char)text[len - 1]) ||
			strchr("+-.\\", text[len - 1]));
	default:
		return false;
	}
}

/*
 * Tells whether a malformed text may be one that another process writes in
 * place, so that it is worth reading again.  *by_us is 0 at first, and then the
 * time at which the error counts as lasting.
 */
bool chk_may_settle(int64_t *by_us, int64_t now)
{
	if (*by_us == 0)
		*by_us = now + CHK_SETTLE_US;
	return now < *by_us;
}
