#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "set_int.h"

/*
 * Feeds arbitrary bytes as a settings file.  Settings without errors must be
 * within their bounds, and errors must be printable text that ends with ')'.
 */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct set_settings settings;
	struct set_build build = { .settings = &settings,
				   .faults = flt_new(),
				   .source = "settings/fuzz" };
	const char *text;
	size_t i;

	set_defaults(&settings);
	if (set_parse(&build, (const char *)data, size))
		set_check(&build);
	if (flt_count(build.faults) == 0 &&
	    (!settings.cluster[0] || !settings.platform.count ||
	     settings.platform.count > SET_PLATFORM_MAX ||
	     settings.threads < 4))
		abort();
	for (i = 0; i < flt_count(build.faults); i++) {
		text = flt_text(build.faults, i);
		if (text[strlen(text) - 1] != ')')
			abort();
		for (; *text; text++) {
			if (!isprint((unsigned char)*text))
				abort();
		}
	}
	flt_free(build.faults);
	return 0;
}
