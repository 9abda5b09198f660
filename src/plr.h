#ifndef PLR_H
#define PLR_H

/*
 * The placer: the instance that holds its lease orders workers to load layers.
 */

#include <stdint.h>

#include "edge.h"

void plr_tick(struct edge *edge, int64_t now);

#endif /* PLR_H */
