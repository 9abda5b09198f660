#ifndef EP_HEADER_H
#define EP_HEADER_H

/* Decides which headers are relayed between a caller and a plain service. */

#include <stdbool.h>
#include <stddef.h>

bool ep_header_to_endpoint(const char *name);
bool ep_header_to_caller(const char *name);

#endif /* EP_HEADER_H */
