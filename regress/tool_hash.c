/* Prints the hash by which messages name a deployment, a worker or a router. */
#include <stdio.h>

#include "htab.h"

int main(int argc, char **argv)
{
	if (argc < 2) {
		fprintf(stderr, "usage: tool_hash NAME\n");
		return 1;
	}
	printf("%u\n", htab_hash(argv[1]));
	return 0;
}
