#ifndef CONF_H
#define CONF_H

/*
 * The configuration in the mirror that other routers follow: a head, one part
 * for each route, and a seal over all routes.  The key of a part is a hash of
 * its text.  Of a new configuration only the parts that differ are written, so
 * that what passes between routers, and what each of them decodes, follows the
 * change and not the size of the whole.  Pure.
 *
 * A part has the revision of the configuration with which it came.  Routers
 * that read different revisions from the store may have given a part different
 * ones; a follower that changes from one to the other may then lack a part.  It
 * is noticed by the seal, and everything is read anew.
 *
 * A configuration that cannot be taken apart is one item, as in the store.
 */

#include <stdbool.h>
#include <stddef.h>

#include "mir.h"
#include "rt.h"

enum conf_result {
	CONF_NEW = 0,	 /* a set was built */
	CONF_NONE,	 /* there is no newer configuration in the mirror */
	CONF_INCOMPLETE, /* parts are missing, or differ from the seal */
	CONF_BAD, /* it cannot be used; the error text names the object */
};

/* The set from which the next one differs little. */
struct conf {
	bool changed;	     /* parts have come since the last build */
	struct rt_set *base; /* NULL: build from all parts */
	int64_t base_revision;
	/* Routes that have come since then, with the services of the base. */
	struct rt_route *decoded;
	int decoded_count;
	int decoded_max;
};

int conf_mirror(struct mir *mir, const struct wire_item *item);
bool conf_is_part(const char *key);
void conf_on_part(struct conf *conf, const struct wire_item *part);
void conf_set_base(struct conf *conf, struct rt_set *set, int64_t revision);
enum conf_result conf_build(struct conf *conf, const struct mir *mir,
			    int64_t version, struct rt_set **out,
			    int64_t *found, char *why, size_t why_size);

#endif /* CONF_H */
