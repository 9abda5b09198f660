#ifndef ENG_H
#define ENG_H

/* A stage of the stand-in engine and the tokens that pass it. */

#include <pthread.h>
#include <stdatomic.h>

#include <curl/curl.h>
#include <urcu/list.h>

#include "fk.h"
#include "mag.h"

#define ENG_EXIT_DIED	 9
#define ENG_WHY_MAX	 128
#define ENG_RESPONSE_MAX 4096

/* The attempts of a request that a stage has received. */
struct eng_attempt {
	struct cds_list_head node;
	char request[FK_ID_MAX];
	long newest;	/* highest attempt received */
	long cancelled; /* highest attempt that was cancelled */
};

struct eng_endpoint {
	char name[MAG_NAME_MAX];
	char model[MAG_NAME_MAX];
	uint32_t first;
	uint32_t last;
	uint32_t layers;
	long tokens_per_s;
	long concurrency;
	long activation_bytes;
	long long link_bytes_per_s;
	bool checks_fencing;
	long fence;
	atomic_long running;  /* streams started at this endpoint */
	atomic_long in_steps; /* tokens in computation */
	pthread_mutex_t lock;
	struct cds_list_head attempts;
	struct fk *fk;
};

/* A token that is computed stage by stage. */
struct eng_step {
	const char *request;
	long attempt;
	uint32_t index;
	uint64_t state;
	size_t stage;
	json_t *chain;
	uint32_t hops_us[MAG_CHAIN_MAX]; /* this stage and the following ones */
	size_t hop_count;
	char token[FK_TOKEN_MAX];
	size_t failed_stage;
	char why[ENG_WHY_MAX];
};

struct eng_response {
	char text[ENG_RESPONSE_MAX];
	size_t len;
};

extern double eng_speed; /* factor on the rated speed */

bool eng_register_attempt(struct eng_endpoint *ep, const char *request,
			  long attempt, bool cancel);
int eng_run(struct eng_endpoint *ep, struct eng_step *step, CURL *curl);
long eng_post(CURL *curl, const char *url, const char *body,
	      struct eng_response *response);
json_t *eng_hops_json(const struct eng_step *step);

#endif /* ENG_H */
