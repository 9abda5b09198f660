#include <stdlib.h>
#include <string.h>

#include "plc.h"

struct plc {
	struct plc_settings settings;
};

struct plc *plc_new(const struct plc_settings *settings, int64_t now)
{
	struct plc *plc = calloc(1, sizeof(*plc));
	(void)now;
	if (plc)
		plc->settings = *settings;
	return plc;
}
void plc_free(struct plc *plc)
{
	free(plc);
}
int plc_config(struct plc *plc, const struct cfg_set *set, int64_t now)
{
	(void)plc;
	(void)set;
	(void)now;
	return 0;
}
void plc_stop(struct plc *plc, int64_t now)
{
	(void)plc;
	(void)now;
}
void plc_tick(struct plc *plc, int64_t now)
{
	(void)plc;
	(void)now;
}
int64_t plc_next_deadline(const struct plc *plc)
{
	(void)plc;
	return MAG_NEVER;
}
bool plc_next_call(struct plc *plc, struct kv_call *call)
{
	(void)plc;
	(void)call;
	return false;
}
int plc_reply(struct plc *plc, const struct kv_reply *reply, int64_t now)
{
	(void)plc;
	(void)reply;
	(void)now;
	return 0;
}
bool plc_next_order(struct plc *plc, struct plc_order *order)
{
	(void)plc;
	(void)order;
	return false;
}
int plc_order_done(struct plc *plc, const struct plc_order_result *result,
		   int64_t now)
{
	(void)plc;
	(void)result;
	(void)now;
	return 0;
}
