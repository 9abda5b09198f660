#include "eq.h"

/* The attempts of a request: their buffers, and which one is the present one.
 */

static int eq_attempt_init(struct eq_attempt *attempt, struct eq *eq);
static void eq_attempt_free(struct eq_attempt *attempt);

/* Prepares a request's attempts.  Returns -1 if memory is exhausted. */
int eq_attempts_init(struct eq *eq)
{
	size_t i;
	int err = 0;

	for (i = 0; i < MAG_ARRAY_SIZE(eq->attempts); i++)
		err |= eq_attempt_init(&eq->attempts[i], eq);
	if (err)
		eq_attempts_free(eq);
	eq->attempt = eq->attempts;
	return err;
}

/* Frees the buffers of a request's attempts. */
void eq_attempts_free(struct eq *eq)
{
	size_t i;

	for (i = 0; i < MAG_ARRAY_SIZE(eq->attempts); i++)
		eq_attempt_free(&eq->attempts[i]);
}

static int eq_attempt_init(struct eq_attempt *attempt, struct eq *eq)
{
	attempt->eq = eq;
	attempt->fields = evbuffer_new();
	attempt->body = evbuffer_new();
	return attempt->fields && attempt->body ? 0 : -1;
}

static void eq_attempt_free(struct eq_attempt *attempt)
{
	if (attempt->fields)
		evbuffer_free(attempt->fields);
	if (attempt->body)
		evbuffer_free(attempt->body);
	evs_free(&attempt->events);
}
