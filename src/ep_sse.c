#include <string.h>

#include "ep_sse.h"

#define SSE_NAME_FIELD "event:"
#define SSE_DATA_FIELD "data:"

static int sse_handle_line(struct ep_sse *sse);
static int sse_emit_event(struct ep_sse *sse);
static int sse_set_name(struct ep_sse *sse, const char *value);
static int sse_add_data(struct ep_sse *sse, const char *value);
static const char *sse_field_value(const char *line, const char *field);

/* Initializes a parser that passes each complete event to the handler. */
void ep_sse_init(struct ep_sse *sse, ep_sse_fn handler, void *ctx)
{
	memset(sse, 0, sizeof(*sse));
	sse->handler = handler;
	sse->ctx = ctx;
}

/*
 * Parses the next bytes of a stream, which may be split anywhere.  Returns 0 or
 * a negative enum ep_sse_err; do not feed the parser again after an error.
 */
int ep_sse_feed(struct ep_sse *sse, const char *bytes, size_t len)
{
	size_t i;
	int rc;

	for (i = 0; i < len; i++) {
		if (bytes[i] != '\n') {
			if (sse->line_len + 1 >= sizeof(sse->line))
				return EP_SSE_E_TOO_LONG;
			sse->line[sse->line_len++] = bytes[i];
			continue;
		}
		rc = sse_handle_line(sse);
		if (rc)
			return rc;
	}
	return EP_SSE_OK;
}

/* Handles a complete line; an empty one ends the event. */
static int sse_handle_line(struct ep_sse *sse)
{
	const char *value;

	if (sse->line_len > 0 && sse->line[sse->line_len - 1] == '\r')
		sse->line_len--;
	sse->line[sse->line_len] = '\0';
	if (sse->line_len == 0)
		return sse_emit_event(sse);
	sse->line_len = 0;
	value = sse_field_value(sse->line, SSE_NAME_FIELD);
	if (value)
		return sse_set_name(sse, value);
	value = sse_field_value(sse->line, SSE_DATA_FIELD);
	if (value)
		return sse_add_data(sse, value);
	return EP_SSE_OK;
}

static int sse_emit_event(struct ep_sse *sse)
{
	int rc = 0;

	if (sse->has_data) {
		sse->data[sse->data_len] = '\0';
		rc = sse->handler(sse->ctx, sse->name, sse->data);
	}
	sse->name[0] = '\0';
	sse->data_len = 0;
	sse->has_data = 0;
	return rc ? EP_SSE_E_STOPPED : EP_SSE_OK;
}

static int sse_set_name(struct ep_sse *sse, const char *value)
{
	size_t len = strlen(value);

	if (len >= sizeof(sse->name))
		return EP_SSE_E_TOO_LONG;
	memcpy(sse->name, value, len + 1);
	return EP_SSE_OK;
}

/* Joins several data lines of one event with newlines. */
static int sse_add_data(struct ep_sse *sse, const char *value)
{
	size_t len = strlen(value);

	if (sse->data_len + len + 2 >= sizeof(sse->data))
		return EP_SSE_E_TOO_LONG;
	if (sse->has_data)
		sse->data[sse->data_len++] = '\n';
	memcpy(sse->data + sse->data_len, value, len);
	sse->data_len += len;
	sse->has_data = 1;
	return EP_SSE_OK;
}

/* Returns the value if the line is of the given field, else NULL. */
static const char *sse_field_value(const char *line, const char *field)
{
	size_t len = strlen(field);

	if (strncmp(line, field, len) != 0)
		return NULL;
	line += len;
	return *line == ' ' ? line + 1 : line;
}
