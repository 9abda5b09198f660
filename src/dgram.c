#include <string.h>
#include <sys/socket.h>

#include <rpc/rpc.h>
#include <sodium.h>

#include "dgram.h"
#include "htab.h"

#define DGRAM_MAGIC	0x4d414745U
#define DGRAM_FORM	1U
#define DGRAM_FORM_BITS 16
#define DGRAM_LEN_MASK	0xffffU
/* The fields of the trailer before the hash, which covers them, too. */
#define DGRAM_HEAD_BYTES (DGRAM_TRAILER_BYTES - crypto_shorthash_BYTES)

struct dgram_head {
	uint32_t magic;
	uint32_t form_and_len; /* of the message (bytes) */
	uint32_t deployment;
};

static bool_t dgram_xdr_head(XDR *xdr, struct dgram_head *head);
static void dgram_hash(const struct dgram_key *key, const char *bytes,
		       size_t len, unsigned char *hash);

/* Derives the key of a deployment from its name. */
void dgram_key_init(struct dgram_key *key, const char *deployment)
{
	_Static_assert(sizeof(key->bytes) == crypto_shorthash_KEYBYTES,
		       "size of a key");

	key->deployment = htab_hash(deployment);
	crypto_generichash(key->bytes, sizeof(key->bytes),
			   (const unsigned char *)deployment,
			   strlen(deployment), NULL, 0);
}

/*
 * Sends a message of at most DGRAM_BODY_MAX bytes with its trailer.  Returns a
 * negative number if it was not sent.
 */
int dgram_send(int fd, const struct dgram_key *key,
	       const struct sockaddr_in *to, const char *bytes, size_t len)
{
	struct dgram_head head = { DGRAM_MAGIC,
				   DGRAM_FORM << DGRAM_FORM_BITS |
					   (uint32_t)len,
				   key->deployment };
	char sent[DGRAM_BYTES_MAX];
	XDR xdr;

	if (len > DGRAM_BODY_MAX)
		return -1;
	memcpy(sent, bytes, len);
	xdrmem_create(&xdr, sent + len, DGRAM_HEAD_BYTES, XDR_ENCODE);
	if (!dgram_xdr_head(&xdr, &head))
		return -1;
	len += DGRAM_HEAD_BYTES;
	dgram_hash(key, sent, len, (unsigned char *)sent + len);
	len += crypto_shorthash_BYTES;
	return sendto(fd, sent, len, 0, (const struct sockaddr *)to,
		      sizeof(*to)) < 0
		       ? -1
		       : 0;
}

/*
 * Checks a datagram that was received and sets len to the length of its
 * message.  Returns an error of enum dgram_err.
 */
int dgram_check(const struct dgram_key *key, const char *bytes, size_t *len)
{
	unsigned char hash[crypto_shorthash_BYTES];
	char encoded[DGRAM_HEAD_BYTES];
	struct dgram_head head;
	size_t hashed_len;
	size_t body_len;
	XDR xdr;

	if (*len < DGRAM_TRAILER_BYTES)
		return DGRAM_E_FORM;
	body_len = *len - DGRAM_TRAILER_BYTES;
	hashed_len = body_len + DGRAM_HEAD_BYTES;
	memcpy(encoded, bytes + body_len, sizeof(encoded));
	xdrmem_create(&xdr, encoded, sizeof(encoded), XDR_DECODE);
	if (!dgram_xdr_head(&xdr, &head) || head.magic != DGRAM_MAGIC ||
	    head.form_and_len >> DGRAM_FORM_BITS != DGRAM_FORM)
		return DGRAM_E_FORM;
	if ((head.form_and_len & DGRAM_LEN_MASK) != body_len)
		return DGRAM_E_LENGTH;
	if (head.deployment != key->deployment)
		return DGRAM_E_DEPLOYMENT;
	dgram_hash(key, bytes, hashed_len, hash);
	if (memcmp(hash, bytes + hashed_len, sizeof(hash)) != 0)
		return DGRAM_E_ALTERED;
	*len = body_len;
	return DGRAM_OK;
}

static bool_t dgram_xdr_head(XDR *xdr, struct dgram_head *head)
{
	return xdr_uint32_t(xdr, &head->magic) &&
	       xdr_uint32_t(xdr, &head->form_and_len) &&
	       xdr_uint32_t(xdr, &head->deployment);
}

/* Hashes a message and the fields of its trailer. */
static void dgram_hash(const struct dgram_key *key, const char *bytes,
		       size_t len, unsigned char *hash)
{
	crypto_shorthash(hash, (const unsigned char *)bytes, len, key->bytes);
}
