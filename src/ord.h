#ifndef ORD_H
#define ORD_H

/* Carries the placement holder's orders to engines, one thread for all. */

#include "loop.h"
#include "plc.h"

struct ord;

struct ord *ord_start(struct loop *loop);
int ord_post(struct ord *ord, const struct plc_order *order);
void ord_stop(struct ord *ord);

#endif /* ORD_H */
