#ifndef ABUF_H
#define ABUF_H

/*
 * Which answers, and bodies of requests, may be buffered.
 *
 * Load pattern: faulty workers answer many requests at once with bytes without
 * end, or callers read endless streams slowly; many callers send long bodies. A
 * bound on each alone does not bound their sum.
 */

#include <stdbool.h>
#include <stddef.h>

/* An answer of this size is always buffered (bytes). */
#define ABUF_SMALL ((size_t)64 << 10)
/* What all answers together take, but for small ones (bytes). */
#define ABUF_ALL_MAX ((size_t)64 << 20)

bool abuf_fits(size_t own, size_t all);

#endif /* ABUF_H */
