#ifndef CHK_H
#define CHK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

/* Checks of names, addresses and JSON texts, for objects and settings. */

#define CHK_NAME_RULE                                                          \
	"1 to 63 of a-z, 0-9, '-', '_', '.', starting with a letter or digit"
#define CHK_ADDRESS_RULE                                                       \
	"an IP address and a port, as in 127.0.0.1:8080 or [::1]:8080"

bool chk_name(const char *name);
bool chk_address(const char *address);
json_t *chk_json(const char *text, size_t len, json_error_t *error);
bool chk_may_settle(int64_t *by_us, int64_t now);
bool chk_json_is_cut(const json_error_t *error, const char *text, size_t len);

#endif /* CHK_H */
