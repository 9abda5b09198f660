#include "conf.h"

/* Puts a configuration that was read from the store into the mirror. */
int conf_mirror(struct mir *mir, const struct wire_item *item)
{
	return mir_put(mir, item);
}
