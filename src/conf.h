#ifndef CONF_H
#define CONF_H

/* The configuration of the store in the mirror that other routers follow. */

#include "mir.h"

int conf_mirror(struct mir *mir, const struct wire_item *item);

#endif /* CONF_H */
