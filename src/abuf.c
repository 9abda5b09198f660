#include "abuf.h"

/*
 * Tells whether an answer that takes so many bytes may be buffered while all
 * together take so many.  It may take as much as is left free: the more large
 * ones there are, the less each of them may take, so that some memory is always
 * left for others.
 */
bool abuf_fits(size_t own, size_t all)
{
	return own <= ABUF_SMALL ||
	       (all < ABUF_ALL_MAX && own <= ABUF_ALL_MAX - all);
}
