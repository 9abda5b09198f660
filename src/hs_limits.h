#ifndef HS_LIMITS_H
#define HS_LIMITS_H

#include <stdint.h>

/* What callers may send, and how long they may take or stay idle. */
struct hs_limits {
	uint32_t header_bytes;
	uint32_t body_bytes;
	uint32_t header_ms; /* from the first byte to the whole header */
	uint32_t idle_ms;   /* between two requests */
};

#endif /* HS_LIMITS_H */
