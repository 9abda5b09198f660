#ifndef SCRIPT_H
#define SCRIPT_H

#include <stdio.h>

/*
 * Scripted tests: every NAME.in of a directory is one cmocka test.  The driver
 * reads the script and writes the results, which must equal NAME.out.  If
 * SCRIPT_WRITE is set in the environment, the .out files are written first.
 */
typedef void (*script_driver_fn)(FILE *in, FILE *out);

int script_main(const char *dir, script_driver_fn driver);

#endif /* SCRIPT_H */
