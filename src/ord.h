#ifndef ORD_H
#define ORD_H

/*
 * Sends orders to engines while this instance holds the placement lease.  One
 * thread sends all orders.
 */

#include "loop.h"
#include "plc.h"

struct ord;

struct ord *ord_start(struct loop *loop);
int ord_post(struct ord *ord, const struct plc_order *order);
void ord_stop(struct ord *ord);

#endif /* ORD_H */
