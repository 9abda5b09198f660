#ifndef RSP_SYNTAX_H
#define RSP_SYNTAX_H

/*
 * The grammar of RFC 9110 and RFC 9112 for the lines of a response, without
 * their line terminators.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Bytes within a line. */
struct rsp_text {
	const char *at;
	size_t len;
};

bool rsp_read_status_line(const char *line, size_t len, int *minor,
			  int *status);
bool rsp_read_field(const char *line, size_t len, struct rsp_text *name,
		    struct rsp_text *value);
bool rsp_read_length(const struct rsp_text *value, uint64_t *length);
bool rsp_read_chunk_size(const char *line, size_t len, uint64_t *size);
bool rsp_may_be_status_line(const char *line, size_t len);
bool rsp_may_be_field(const char *line, size_t len);
bool rsp_may_be_chunk_size(const char *line, size_t len);
bool rsp_is_field_value(const char *text);
bool rsp_next_element(struct rsp_text *list, struct rsp_text *element);
bool rsp_text_is(const struct rsp_text *text, const char *word);

#endif /* RSP_SYNTAX_H */
