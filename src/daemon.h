#ifndef DAEMON_H
#define DAEMON_H

/* Starts and stops the modules of magnoliad. */

#include "set.h"

struct daemon;

enum daemon_err {
	DAEMON_OK = 0,
	DAEMON_E_MEMORY = -1,
	DAEMON_E_LISTEN = -2,
	DAEMON_E_THREAD = -3,
	DAEMON_E_FILES = -4,
};

int daemon_start(const struct set_settings *settings, struct daemon **daemon);
void daemon_stop(struct daemon *daemon);
const char *daemon_strerror(int err);

#endif /* DAEMON_H */
