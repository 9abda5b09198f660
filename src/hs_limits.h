#ifndef HS_LIMITS_H
#define HS_LIMITS_H

#include <stdint.h>

/* Size and time limits for clients. */
struct hs_limits {
	uint32_t header_bytes;
	uint32_t body_bytes;
	uint32_t header_ms; /* from the first byte to the end of the header */
	uint32_t idle_ms;   /* idle time between two requests */
};

#endif /* HS_LIMITS_H */
