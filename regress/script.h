#ifndef SCRIPT_H
#define SCRIPT_H

#include <stdio.h>

/*
 * Scripted runs: every NAME.in of a folder is one cmocka test.  The driver
 * reads the script and writes what happened; the output must equal NAME.out.
 * With SCRIPT_WRITE set in the environment, the .out files are written.
 */
typedef void (*script_driver_fn)(FILE *in, FILE *out);

int script_main(const char *dir, script_driver_fn driver);

#endif /* SCRIPT_H */
