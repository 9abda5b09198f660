#ifndef ADMIN_H
#define ADMIN_H

/* HTTP server for operators and for the platform's load balancer. */

#include <stdbool.h>

#include "front.h"
#include "loop.h"

struct admin;

enum admin_err {
	ADMIN_OK = 0,
	ADMIN_E_LISTEN = -1,
};

struct admin_settings {
	char listen[MAG_ADDR_MAX]; /* "ip:port" */
	char cluster[MAG_NAME_MAX];
	char instance[MAG_NAME_MAX];
	char data_centre[MAG_NAME_MAX];
};

struct admin *admin_new(const struct admin_settings *settings,
			struct loop *loop, struct front *front);
int admin_start(struct admin *admin);
void admin_set_serving(struct admin *admin);
void admin_set_stopping(struct admin *admin);
void admin_free(struct admin *admin);

#endif /* ADMIN_H */
