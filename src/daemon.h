#ifndef DAEMON_H
#define DAEMON_H

/* Starts and stops the modules of magnoliad. */

#include "set.h"

#define DAEMON_WHY_MAX 160

struct daemon;

enum daemon_err {
	DAEMON_OK = 0,
	DAEMON_E_MEMORY = -1,
	DAEMON_E_LISTEN = -2,
	DAEMON_E_THREAD = -3, /* one may be available later */
	DAEMON_E_FILES = -4,
	DAEMON_E_BUSY = -5,    /* an address may be available later */
	DAEMON_E_LIBRARY = -6, /* one failed that can't be started again */
};

int daemon_start(const struct set_settings *settings, char *why,
		 size_t why_size, struct daemon **daemon);
void daemon_stop(struct daemon *daemon);

#endif /* DAEMON_H */
