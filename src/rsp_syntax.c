#include <string.h>
#include <strings.h>

#include "rsp_syntax.h"

#define RSP_VERSION	"HTTP/1."
#define RSP_STATUS_AT	9 /* in "HTTP/1.1 200" */
#define RSP_STATUS_MIN	100
#define RSP_STATUS_MAX	599
#define RSP_SIZE_DIGITS 15 /* hexadecimal digits of the largest chunk */

static bool rsp_is_digit(char c);
static bool rsp_is_token_char(char c);
static bool rsp_is_text(const char *at, size_t len);
static size_t rsp_token_len(const char *at, size_t len);
static size_t rsp_quoted_len(const char *at, size_t len);
static size_t rsp_blank_len(const char *at, size_t len);
static bool rsp_is_chunk_extension(const char *at, size_t len);
static int rsp_hex_value(char c);

/*
 * Reads a status line.  The minor version may be a later one, and the space
 * before an empty reason phrase may be missing.
 */
bool rsp_read_status_line(const char *line, size_t len, int *minor, int *status)
{
	const char *digits = line + RSP_STATUS_AT;
	size_t end = RSP_STATUS_AT + 3;
	size_t at = strlen(RSP_VERSION);

	if (len < end || memcmp(line, RSP_VERSION, at) != 0 ||
	    !rsp_is_digit(line[at]) || line[at + 1] != ' ' ||
	    !rsp_is_digit(digits[0]) || !rsp_is_digit(digits[1]) ||
	    !rsp_is_digit(digits[2]))
		return false;
	if (len > end && line[end] != ' ')
		return false;
	*minor = line[at] - '0';
	*status = (digits[0] - '0') * 100 + (digits[1] - '0') * 10 +
		  (digits[2] - '0');
	return *status >= RSP_STATUS_MIN && *status <= RSP_STATUS_MAX &&
	       rsp_is_text(line + end, len - end);
}

/*
 * Splits a field line.  Blanks before the colon and folded lines are errors:
 * both are read differently by different recipients.
 */
bool rsp_read_field(const char *line, size_t len, struct rsp_text *name,
		    struct rsp_text *value)
{
	size_t at;

	name->at = line;
	name->len = rsp_token_len(line, len);
	if (name->len == 0 || name->len == len || line[name->len] != ':')
		return false;
	at = name->len + 1;
	at += rsp_blank_len(line + at, len - at);
	while (len > at && (line[len - 1] == ' ' || line[len - 1] == '\t'))
		len--;
	value->at = line + at;
	value->len = len - at;
	return rsp_is_text(value->at, value->len);
}

/*
 * Tells whether a text, if it is sent as the value of a field, is received as
 * it is: it is not empty, has no control characters and no blanks around it.
 */
bool rsp_is_field_value(const char *text)
{
	size_t len = strlen(text);

	return len > 0 && rsp_is_text(text, len) &&
	       rsp_blank_len(text, 1) == 0 &&
	       rsp_blank_len(text + len - 1, 1) == 0;
}

/*
 * Reads the value of Content-Length.  A list whose elements are all the same
 * number is valid; it stands for repeated fields.
 */
bool rsp_read_length(const struct rsp_text *value, uint64_t *length)
{
	struct rsp_text list = *value;
	struct rsp_text element;
	bool found = false;
	uint64_t number;
	size_t i;

	while (rsp_next_element(&list, &element)) {
		number = 0;
		for (i = 0; i < element.len; i++) {
			if (!rsp_is_digit(element.at[i]) ||
			    number > (INT64_MAX - 9) / 10)
				return false;
			number = number * 10 + (uint64_t)(element.at[i] - '0');
		}
		if (found && number != *length)
			return false;
		*length = number;
		found = true;
	}
	return found;
}

/* Reads the size of a chunk; its extensions must be valid and are ignored. */
bool rsp_read_chunk_size(const char *line, size_t len, uint64_t *size)
{
	size_t digits = 0;
	size_t zeros = 0;

	*size = 0;
	while (zeros < len && line[zeros] == '0')
		zeros++;
	line += zeros;
	len -= zeros;
	while (digits < len && rsp_hex_value(line[digits]) >= 0) {
		if (digits == RSP_SIZE_DIGITS)
			return false;
		*size = *size * 16 + (uint64_t)rsp_hex_value(line[digits]);
		digits++;
	}
	return zeros + digits > 0 &&
	       rsp_is_chunk_extension(line + digits, len - digits);
}

/* Tells whether bytes may be the beginning of a status line. */
bool rsp_may_be_status_line(const char *line, size_t len)
{
	size_t known = strlen(RSP_VERSION);

	return memcmp(line, RSP_VERSION, len < known ? len : known) == 0;
}

/* Tells the same of a field line, or of the line end that follows the last. */
bool rsp_may_be_field(const char *line, size_t len)
{
	size_t name = rsp_token_len(line, len);

	if (name == 0)
		return len == 1 && line[0] == '\r';
	return name == len || line[name] == ':';
}

/* Tells the same of a line that gives the size of a chunk. */
bool rsp_may_be_chunk_size(const char *line, size_t len)
{
	return len > 0 && rsp_hex_value(line[0]) >= 0;
}

/*
 * Takes the next element, without blanks around it, from a list of elements
 * separated by commas; false if there is none.  Empty elements are skipped.
 */
bool rsp_next_element(struct rsp_text *list, struct rsp_text *element)
{
	const char *comma;
	size_t skip;

	do {
		if (list->len == 0)
			return false;
		comma = memchr(list->at, ',', list->len);
		element->at = list->at;
		element->len = comma ? (size_t)(comma - list->at) : list->len;
		skip = element->len + (comma ? 1 : 0);
		list->at += skip;
		list->len -= skip;
		skip = rsp_blank_len(element->at, element->len);
		element->at += skip;
		element->len -= skip;
		while (element->len > 0 &&
		       rsp_blank_len(element->at + element->len - 1, 1) == 1)
			element->len--;
	} while (element->len == 0);
	return true;
}

/* Compares with a word, ignoring case. */
bool rsp_text_is(const struct rsp_text *text, const char *word)
{
	return text->len == strlen(word) &&
	       strncasecmp(text->at, word, text->len) == 0;
}

static bool rsp_is_digit(char c)
{
	return c >= '0' && c <= '9';
}

static bool rsp_is_token_char(char c)
{
	return rsp_is_digit(c) || (c >= 'a' && c <= 'z') ||
	       (c >= 'A' && c <= 'Z') || (c && strchr("!#$%&'*+-.^_`|~", c));
}

/* Tells whether bytes may stand in a field value or reason phrase. */
static bool rsp_is_text(const char *at, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (((unsigned char)at[i] < ' ' && at[i] != '\t') ||
		    at[i] == 0x7f)
			return false;
	}
	return true;
}

/* Returns the length of the token that begins a text. */
static size_t rsp_token_len(const char *at, size_t len)
{
	size_t i = 0;

	while (i < len && rsp_is_token_char(at[i]))
		i++;
	return i;
}

/* Returns the length of the quoted string that begins a text; 0: none. */
static size_t rsp_quoted_len(const char *at, size_t len)
{
	size_t i;

	if (len == 0 || at[0] != '"')
		return 0;
	for (i = 1; i < len && at[i] != '"'; i++) {
		if (at[i] == '\\')
			i++;
	}
	return i < len && rsp_is_text(at, i + 1) ? i + 1 : 0;
}

/* Returns the length of the blanks that begin a text. */
static size_t rsp_blank_len(const char *at, size_t len)
{
	size_t i = 0;

	while (i < len && (at[i] == ' ' || at[i] == '\t'))
		i++;
	return i;
}

/* Tells whether a text is any number of ";NAME" and ";NAME=VALUE". */
static bool rsp_is_chunk_extension(const char *at, size_t len)
{
	const char *end = at + len;
	size_t part;

	while (at < end) {
		at += rsp_blank_len(at, (size_t)(end - at));
		if (at == end || *at++ != ';')
			return false;
		at += rsp_blank_len(at, (size_t)(end - at));
		part = rsp_token_len(at, (size_t)(end - at));
		if (part == 0)
			return false;
		at += part;
		part = rsp_blank_len(at, (size_t)(end - at));
		if (at + part == end || at[part] != '=')
			continue;
		at += part + 1;
		at += rsp_blank_len(at, (size_t)(end - at));
		part = rsp_token_len(at, (size_t)(end - at));
		if (part == 0)
			part = rsp_quoted_len(at, (size_t)(end - at));
		if (part == 0)
			return false;
		at += part;
	}
	return true;
}

/* Returns the value of a hexadecimal digit; -1 if it is none. */
static int rsp_hex_value(char c)
{
	if (rsp_is_digit(c))
		return c - '0';
	if (c >= 'a' && c <= 'f')
		return c - 'a' + 10;
	if (c >= 'A' && c <= 'F')
		return c - 'A' + 10;
	return -1;
}
