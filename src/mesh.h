#ifndef MESH_H
#define MESH_H

/* Connects this instance's event loop and configuration to the peers. */

#include "loop.h"
#include "rpc.h"
#include "watch.h"

struct mesh;

struct mesh_settings {
	char cluster[MAG_NAME_MAX];
	char listen[MAG_ADDR_MAX]; /* "ip:port" */
};

int mesh_start(const struct mesh_settings *settings, struct loop *loop,
	       struct watch *watch, struct mesh **mesh);
void mesh_send(struct mesh *mesh, const struct inst_send *send);
void mesh_fetch(struct mesh *mesh, const struct inst_fetch *fetch);
void mesh_stop(struct mesh *mesh);

#endif /* MESH_H */
