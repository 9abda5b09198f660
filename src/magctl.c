#include <stdio.h>
#include <string.h>

#include <curl/curl.h>
#include <sodium.h>

#include "ctl.h"
#include "log.h"
#include "proc.h"
#include "set.h"

#define OPT(name)     CTL_BIT(CTL_OPT_##name)
#define STORE_OPTIONS (OPT(PLATFORM) | OPT(TIMEOUT) | OPT(JSON) | OPT(HELP))
#define FLEET_OPTIONS (OPT(ADMIN) | OPT(TIMEOUT) | OPT(JSON) | OPT(HELP))

static void print_usage(FILE *out);
static int run(const struct ctl_command *command, int argc, char **argv);

static const struct ctl_command commands[] = {
	{ "check", "check a whole set of objects without publishing it",
	  OPT(FILE) | OPT(JSON) | OPT(HELP), ctl_check },
	{ "diff", "show what applying a set would change",
	  OPT(FILE) | OPT(REVISION) | STORE_OPTIONS, ctl_diff },
	{ "apply", "publish a whole set of objects",
	  OPT(FILE) | OPT(ADMIN) | OPT(BASE) | OPT(REPLACE) | OPT(MERGE) |
		  OPT(CHANGE_ID) | OPT(FLOOR) | OPT(OPERATOR) | OPT(NOTE) |
		  OPT(WAIT) | STORE_OPTIONS,
	  ctl_apply },
	{ "get", "write the set in force, or one object of it",
	  OPT(OBJECT) | OPT(REVISION) | STORE_OPTIONS, ctl_get },
	{ "history", "list the stored changes", OPT(COUNT) | STORE_OPTIONS,
	  ctl_history },
	{ "status", "show which revision each instance holds",
	  OPT(PLATFORM) | FLEET_OPTIONS, ctl_status },
	{ "shares", "show each account's load by service and endpoint",
	  FLEET_OPTIONS, ctl_shares },
	{ "bound", "show each service's throughput bound and the worst loss",
	  FLEET_OPTIONS, ctl_bound },
	{ "explain", "show how requests of a service are routed now",
	  OPT(SERVICE) | FLEET_OPTIONS, ctl_explain },
};

/* The operator's tool: runs one command. */
int main(int argc, char **argv)
{
	size_t i;

	proc_open_std();
	if (argc < 2) {
		print_usage(stderr);
		return CTL_USAGE;
	}
	if (strcmp(argv[1], "--help") == 0 || strcmp(argv[1], "-h") == 0) {
		print_usage(stdout);
		return CTL_DONE;
	}
	if (strcmp(argv[1], "--version") == 0) {
		set_version(stdout, "magctl");
		return CTL_DONE;
	}
	for (i = 0; i < MAG_ARRAY_SIZE(commands); i++) {
		if (strcmp(commands[i].name, argv[1]) == 0)
			return run(&commands[i], argc - 1, argv + 1);
	}
	fprintf(stderr, "magctl: no command %s\n", argv[1]);
	print_usage(stderr);
	return CTL_USAGE;
}

static void print_usage(FILE *out)
{
	size_t i;

	fputs("usage: magctl COMMAND [OPTIONS]\n", out);
	for (i = 0; i < MAG_ARRAY_SIZE(commands); i++)
		fprintf(out, "  %-8s %s\n", commands[i].name, commands[i].help);
	fputs("magctl COMMAND --help lists its options\n", out);
}

static int run(const struct ctl_command *command, int argc, char **argv)
{
	struct ctl_args args;
	enum ctl_exit code;

	if (ctl_read_args(command, argc, argv, &args) < 0)
		return CTL_USAGE;
	if (args.value[CTL_OPT_HELP]) {
		ctl_help(command, stdout);
		ctl_free_args(&args);
		return CTL_DONE;
	}
	log_set_sink(NULL, NULL);
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT))
		return CTL_DOWN;
	code = command->run(&args);
	curl_global_cleanup();
	ctl_free_args(&args);
	return (int)code;
}
