#ifndef FLT_H
#define FLT_H

#include <stdbool.h>
#include <stddef.h>

/*
 * A list of error messages for operators, each one line of printable ASCII.
 * The modules that find errors define the message texts and numbers.
 */
struct flt_list;

struct flt_list *flt_new(void);
void flt_free(struct flt_list *list);
void flt_add(struct flt_list *list, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
void flt_mark_incomplete(struct flt_list *list);
bool flt_is_incomplete(const struct flt_list *list);
size_t flt_count(const struct flt_list *list);
const char *flt_text(const struct flt_list *list, size_t i);

#endif /* FLT_H */
