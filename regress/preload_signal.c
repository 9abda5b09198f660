/*
 * Preloaded into a program.  Sends it the signal of number PRELOAD_SIGNAL while
 * the dynamic linker initializes its libraries, if one of them defines
 * PRELOAD_SYMBOL.
 */
#include <dlfcn.h>
#include <signal.h>
#include <stdlib.h>

static void __attribute__((constructor)) preload_signal(void)
{
	const char *number = getenv("PRELOAD_SIGNAL");
	const char *symbol = getenv("PRELOAD_SYMBOL");

	if (number && symbol && dlsym(RTLD_DEFAULT, symbol))
		raise((int)strtol(number, NULL, 10));
}
