#include <stdlib.h>
#include <string.h>

#include "rsp.h"
#include "script.h"

#define LINE_MAX_ 4096
#define TEXT_MAX  16384

/* What a parser makes of a response. */
struct result {
	struct rsp rsp;
	char text[TEXT_MAX]; /* the head, then the body */
	size_t len;
	size_t body;
};

static void add_text(struct result *result, const char *bytes, size_t len)
{
	if (result->len + len < sizeof(result->text)) {
		memcpy(result->text + result->len, bytes, len);
		result->len += len;
	}
}

static bool on_head(void *ctx, const struct rsp *rsp)
{
	static const char *const framings[] = {
		[RSP_FRAMING_NONE] = "no body",
		[RSP_FRAMING_LENGTH] = "length",
		[RSP_FRAMING_CHUNKED] = "chunked",
		[RSP_FRAMING_CLOSE] = "until closed",
	};
	struct result *result = ctx;
	char line[512];
	int i;

	snprintf(line, sizeof(line), "%d, %s, connection %s", rsp->status,
		 framings[rsp->framing], rsp->persistent ? "kept" : "closes");
	add_text(result, line, strlen(line));
	for (i = 0; i < rsp->headers.count; i++) {
		snprintf(line, sizeof(line), ", %s=%s",
			 hdr_name(&rsp->headers, i),
			 hdr_value(&rsp->headers, i));
		add_text(result, line, strlen(line));
	}
	add_text(result, ": ", 2);
	result->body = result->len;
	return true;
}

static bool on_body(void *ctx, const char *bytes, size_t len)
{
	add_text(ctx, bytes, len);
	return true;
}

static const struct rsp_ops ops = { on_head, on_body };

/* Feeds a response in pieces of a size; at the end the connection may end. */
static void parse(struct result *result, const char *bytes, size_t len,
		  size_t piece, bool head_request)
{
	size_t at = 0;
	size_t used;
	int err = RSP_OK;

	memset(result, 0, sizeof(*result));
	rsp_init(&result->rsp, &ops, result);
	rsp_begin(&result->rsp, head_request);
	while (at < len && !err && result->rsp.state != RSP_COMPLETE) {
		err = rsp_feed(&result->rsp, bytes + at,
			       len - at < piece ? len - at : piece, &used);
		at += used;
	}
	if (err) {
		/* Where a body is broken, some of it may have been passed. */
		result->len = 0;
		add_text(result, "error: ", 7);
		add_text(result, rsp_err_text(err), strlen(rsp_err_text(err)));
	} else if (rsp_ends_with_connection(&result->rsp)) {
		add_text(result, " [may end]", 10);
	} else if (result->rsp.state != RSP_COMPLETE) {
		add_text(result, " [goes on]", 10);
	} else if (at < len) {
		add_text(result, " [more bytes]", 13);
	}
	rsp_free(&result->rsp);
}

/*
 * Replaces \n by CR LF, \l by LF, \c by CR and \xNN by that byte; returns the
 * length.
 */
static size_t unescape(const char *text, char *bytes)
{
	size_t len = 0;
	char hex[3] = "";

	for (; *text && *text != '\n'; text++) {
		if (*text != '\\') {
			bytes[len++] = *text;
			continue;
		}
		text++;
		if (*text == 'n')
			bytes[len++] = '\r';
		if (*text == 'n' || *text == 'l')
			bytes[len++] = '\n';
		if (*text == 'c')
			bytes[len++] = '\r';
		if (*text == 'x') {
			memcpy(hex, text + 1, 2);
			bytes[len++] = (char)strtol(hex, NULL, 16);
			text += 2;
		}
	}
	return len;
}

/* Repeats a part after what begins a response, as often as it is told. */
static size_t repeat(char *bytes, size_t len, const char *part, size_t part_len,
		     int count)
{
	while (count-- > 0) {
		memcpy(bytes + len, part, part_len);
		len += part_len;
	}
	return len;
}

static void show(FILE *out, const char *bytes, size_t len, bool head_request)
{
	static struct result whole;
	static struct result pieces;
	size_t piece;
	size_t i;

	parse(&whole, bytes, len, len, head_request);
	for (i = 0; i < whole.len; i++) {
		if (whole.text[i] >= ' ' && whole.text[i] < 0x7f)
			fputc(whole.text[i], out);
		else
			fprintf(out, "\\x%02x", (unsigned char)whole.text[i]);
	}
	fputc('\n', out);
	for (piece = 1; piece < 8 && piece < len; piece++) {
		parse(&pieces, bytes, len, piece, head_request);
		if (pieces.len != whole.len ||
		    memcmp(pieces.text, whole.text, whole.len) != 0)
			fprintf(out, "differs in pieces of %zu\n", piece);
	}
}

/*
 * "RESPONSE", after "HEAD: " that to a HEAD request; "repeat COUNT PART" adds
 * a part that often to the beginning of the next response.
 */
static void run_script(FILE *in, FILE *out)
{
	static char bytes[1 << 20];
	char part[LINE_MAX_];
	char line[LINE_MAX_];
	size_t begun = 0;
	size_t len;
	int count;
	int at;

	while (fgets(line, sizeof(line), in)) {
		if (line[0] == '#' || line[0] == '\n')
			continue;
		fprintf(out, "> %s", line);
		if (sscanf(line, "repeat %d %n", &count, &at) == 1) {
			len = unescape(line + at, part);
			begun = repeat(bytes, begun, part, len, count);
			continue;
		}
		at = strncmp(line, "HEAD: ", 6) == 0 ? 6 : 0;
		len = begun + unescape(line + at, bytes + begun);
		show(out, bytes, len, at > 0);
		begun = 0;
	}
}

int main(void)
{
	return script_main("regress/rsp", run_script);
}
