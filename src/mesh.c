#include <stdlib.h>
#include <string.h>

#include "cnt.h"
#include "log.h"
#include "mesh.h"
#include "pub.h"

struct mesh {
	struct loop *loop;
	struct watch *watch;
	struct rpc *rpc;
};

static void on_message(void *ctx, const struct peer_msg *msg);
static int on_serve(void *ctx, uint64_t min_revision, uint64_t *revision,
		    char **text, size_t *len);
static int on_edits(void *ctx, uint64_t base_revision, uint64_t *revision,
		    char **text, size_t *len);
static void on_fetched(void *ctx, const struct rpc_fetched *fetched);
static void offer_fetched(struct mesh *mesh, const struct rpc_fetched *fetched);

/* Starts to listen for peers.  Returns 0 or a negative enum rpc_error. */
int mesh_start(const struct mesh_settings *settings, struct loop *loop,
	       struct watch *watch, struct mesh **out)
{
	struct rpc_settings rpc = { 0 };
	struct rpc_handlers handlers = {
		.message = on_message,
		.serve = on_serve,
		.edits = on_edits,
		.fetched = on_fetched,
	};
	struct mesh *mesh = calloc(1, sizeof(*mesh));
	int rc;

	if (!mesh)
		return RPC_E_MEMORY;
	mesh->loop = loop;
	mesh->watch = watch;
	handlers.ctx = mesh;
	memcpy(rpc.cluster, settings->cluster, sizeof(rpc.cluster));
	memcpy(rpc.listen, settings->listen, sizeof(rpc.listen));
	rc = rpc_start(&rpc, &handlers, &mesh->rpc);
	if (rc) {
		free(mesh);
		return rc;
	}
	*out = mesh;
	return RPC_OK;
}

/* Sends a heartbeat; one that gets lost is made good by the next. */
void mesh_send(struct mesh *mesh, const struct inst_send *send)
{
	rpc_send(mesh->rpc, send->address, &send->msg);
}

/* Requests from a peer the configuration that it announced. */
void mesh_fetch(struct mesh *mesh, const struct inst_fetch *fetch)
{
	uint64_t current = watch_revision(mesh->watch);

	if (fetch->revision > current)
		rpc_fetch(mesh->rpc, fetch->address, fetch->revision, current);
}

/* Stops listening and frees the mesh. */
void mesh_stop(struct mesh *mesh)
{
	if (!mesh)
		return;
	rpc_stop(mesh->rpc);
	free(mesh);
}

static void on_message(void *ctx, const struct peer_msg *msg)
{
	struct mesh *mesh = ctx;
	struct inst_event event = { .type = INST_EV_PEER_MSG };

	event.msg = *msg;
	loop_post_inst(mesh->loop, &event);
}

static int on_serve(void *ctx, uint64_t min_revision, uint64_t *revision,
		    char **text, size_t *len)
{
	struct mesh *mesh = ctx;

	return watch_text(mesh->watch, min_revision, revision, text, len);
}

static int on_edits(void *ctx, uint64_t base_revision, uint64_t *revision,
		    char **text, size_t *len)
{
	struct mesh *mesh = ctx;

	return watch_edits(mesh->watch, base_revision, revision, text, len);
}

static void on_fetched(void *ctx, const struct rpc_fetched *fetched)
{
	struct mesh *mesh = ctx;

	if (fetched->err == RPC_OK)
		offer_fetched(mesh, fetched);
	free(fetched->text);
}

/*
 * Offers a fetched configuration to the watch.  A faulty or hostile peer could
 * send a set that was never published, or one whose faults remove routes; the
 * instances would then route differently.  So the result is validated as a
 * complete set first.  If edits don't produce the text that they name, the
 * complete text is fetched instead.
 */
static void offer_fetched(struct mesh *mesh, const struct rpc_fetched *fetched)
{
	int rc = PUB_E_REJECTED;

	if (fetched->base_revision)
		rc = watch_offer_edits(mesh->watch, fetched->base_revision,
				       fetched->text);
	else if (strlen(fetched->text) == fetched->len)
		rc = watch_offer(mesh->watch, fetched->text, fetched->revision);
	if (rc == PUB_OK && fetched->base_revision)
		cnt_add(CNT_RPC_EDITS_TAKEN, 1);
	if (rc == PUB_OK || rc == PUB_E_STALE || rc == PUB_E_DOWN)
		return;
	if (rc != PUB_E_BASE)
		log_event(LOG_CONFIG_OFFER_REFUSED,
			  "peer=%s revision=%llu why=\"%s\"", fetched->address,
			  (unsigned long long)fetched->revision,
			  pub_err_text(rc));
	if (fetched->base_revision &&
	    fetched->revision > watch_revision(mesh->watch))
		rpc_fetch(mesh->rpc, fetched->address, fetched->revision, 0);
}
