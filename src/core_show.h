#ifndef CORE_SHOW_H
#define CORE_SHOW_H

/* Views of a core for operators, as JSON or in the text format for metrics. */

#include <stdio.h>

#include "core.h"

void core_show_metrics(struct core *core, FILE *out);
void core_show_shares(struct core *core, FILE *out);
void core_show_bound(struct core *core, FILE *out);
int core_show_explain(struct core *core, const char *service, FILE *out);

#endif /* CORE_SHOW_H */
