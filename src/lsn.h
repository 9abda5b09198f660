#ifndef LSN_H
#define LSN_H

/* Sockets that receive at an address of this machine. */

#include <stdbool.h>

enum lsn_err {
	LSN_OK = 0,
	LSN_E_ADDRESS = -1, /* malformed, or not one of these sockets' */
	LSN_E_BUSY = -2,    /* may be available later; errno says why not now */
};

enum lsn_type {
	LSN_TCP,
	LSN_UDP,
	LSN_TCP_BOUND, /* does not listen, so that none connects */
};

int lsn_open(const char *address, enum lsn_type type, int *fd);
bool lsn_is_own(const char *address);

#endif /* LSN_H */
