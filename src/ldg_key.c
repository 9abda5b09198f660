#include <ctype.h>
#include <string.h>

#include <sodium.h>

#include "ldg_int.h"

#define UUID_LEN	   36
#define UUID_TIMESTAMP_HEX 12 /* first 48 bits: milliseconds since 1970 */
#define UUID_VERSION_AT	   14
#define UUID_VARIANT_AT	   19

static void ldg_hash_field(crypto_generichash_state *hash, const char *field);
static int ldg_hex_value(char c);

/*
 * Computes the digest that identifies an intent.  Each field is hashed with its
 * NUL, so that one string split into fields in two ways has two digests.  The
 * account separates callers that chose the same key.
 */
void ldg_intent(uint8_t intent[MAG_DIGEST_BYTES], const char *account,
		const char *route, const char *key)
{
	crypto_generichash_state hash;

	crypto_generichash_init(&hash, NULL, 0, MAG_DIGEST_BYTES);
	ldg_hash_field(&hash, account);
	ldg_hash_field(&hash, route);
	ldg_hash_field(&hash, key);
	crypto_generichash_final(&hash, intent, MAG_DIGEST_BYTES);
}

/*
 * Derives the key sent to a downstream service, in hex.  It is the same for
 * every attempt and instance, and does not reveal the caller's own key.
 */
void ldg_downstream_key(char hex[MAG_DIGEST_HEX],
			const uint8_t intent[MAG_DIGEST_BYTES])
{
	static const char label[] = "downstream";
	uint8_t digest[MAG_DIGEST_BYTES];

	crypto_generichash(digest, sizeof(digest), intent, MAG_DIGEST_BYTES,
			   (const uint8_t *)label, sizeof(label));
	sodium_bin2hex(hex, MAG_DIGEST_HEX, digest, sizeof(digest));
}

/*
 * Parses the timestamp of a UUIDv7 (RFC 9562), in milliseconds of wall clock.
 * Returns LDG_E_KEY_FORMAT if the key is no UUIDv7.
 */
int ldg_key_timestamp_ms(const char *key, int64_t *timestamp_ms)
{
	int64_t timestamp = 0;
	int i;

	if (strlen(key) != UUID_LEN || key[UUID_VERSION_AT] != '7' ||
	    !strchr("89abAB", key[UUID_VARIANT_AT]))
		return LDG_E_KEY_FORMAT;
	for (i = 0; i < UUID_LEN; i++) {
		bool dash = i == 8 || i == 13 || i == 18 || i == 23;

		if (dash ? key[i] != '-' : !isxdigit((unsigned char)key[i]))
			return LDG_E_KEY_FORMAT;
		if (!dash && i <= UUID_TIMESTAMP_HEX)
			timestamp = timestamp * 16 + ldg_hex_value(key[i]);
	}
	*timestamp_ms = timestamp;
	return LDG_OK;
}

static void ldg_hash_field(crypto_generichash_state *hash, const char *field)
{
	crypto_generichash_update(hash, (const uint8_t *)field,
				  strlen(field) + 1);
}

static int ldg_hex_value(char c)
{
	if (c <= '9')
		return c - '0';
	return tolower((unsigned char)c) - 'a' + 10;
}
