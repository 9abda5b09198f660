#include <arpa/inet.h>
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "chk.h"
#include "mag.h"

/* Tells whether a string may name an object, a group or an instance. */
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
 * Tells whether a string is an IP number and a port.  Host names are not
 * taken, as the router looks up no names.
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
 * Reads a JSON text strictly: no field twice and no NUL byte.  The library
 * takes a NUL byte after a number for a blank, while whoever treats the text
 * as a string takes it to end there, so that both would see different sets.
 * NULL, with line and text of the error, if it is not JSON.
 */
json_t *chk_json(const char *text, size_t len, json_error_t *error)
{
	const char *nul = memchr(text, '\0', len);
	const char *at = text;

	if (!nul)
		return json_loadb(text, len, JSON_REJECT_DUPLICATES, error);
	error->line = 1;
	while ((at = memchr(at, '\n', (size_t)(nul - at)))) {
		error->line++;
		at++;
	}
	snprintf(error->text, sizeof(error->text), "a NUL byte");
	return NULL;
}
