#ifndef EP_CANCEL_H
#define EP_CANCEL_H

/* A thread that sends cancellations of attempts to engines. */

struct ep_cancel;

struct ep_cancel *ep_cancel_start(void);
int ep_cancel_post(struct ep_cancel *cancel, const char *address,
		   const char *body);
void ep_cancel_stop(struct ep_cancel *cancel);

#endif /* EP_CANCEL_H */
