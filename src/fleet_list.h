#ifndef FLEET_LIST_H
#define FLEET_LIST_H

/* Parser of the platform's list of instances (JSON), which may be stale. */

#include "fleet.h"

struct fleet_list_endpoint {
	char name[MAG_NAME_MAX];
	bool leaving;
};

struct fleet_list {
	struct peer_list_entry *entries; /* live instances */
	size_t entry_count;
	struct fleet_list_endpoint *endpoints;
	size_t endpoint_count;
};

enum fleet_list_err {
	FLEET_LIST_OK = 0,
	FLEET_LIST_E_FORMAT = -1,
	FLEET_LIST_E_MEMORY = -2,
};

int fleet_list_parse(const char *text, size_t len, struct fleet_list *list);
void fleet_list_free(struct fleet_list *list);

#endif /* FLEET_LIST_H */
