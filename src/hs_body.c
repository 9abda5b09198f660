#include "abuf.h"
#include "clk.h"
#include "hs_int.h"
#include "jlog.h"

/* What all bodies together take, small ones included (bytes). */
#define HS_BODIES_MAX ((size_t)96 << 20)

static bool hs_body_fits(const struct hs *hs, size_t claim);
static void hs_note_body_refused(struct hs *hs, int64_t now);

/* Returns how many requests were refused as all bodies took too much. */
uint64_t hs_bodies_refused(const struct hs *hs)
{
	return hs->bodies_refused;
}

/*
 * Claims memory for the body of a request, which is so long in all as far as is
 * known; bodies that are late give way.  Returns false if the request is to be
 * refused.
 */
bool hs_claim_body(struct hs_conn *conn, size_t len)
{
	struct hs *hs = conn->hs;
	int64_t now = clk_boot_us();
	size_t claim = len > conn->body_claim ? len : conn->body_claim;

	/* This one gives way to none. */
	conn->body_by_us = MAG_NEVER;
	hs_claim(conn, claim);
	do {
		if (hs_body_fits(hs, claim)) {
			conn->body_by_us =
				now + hs->limits.header_ms * MAG_US_PER_MS;
			return true;
		}
	} while (hs_drop_late_body(hs, claim > ABUF_SMALL ? ABUF_SMALL : 0,
				   now));
	hs_claim(conn, 0);
	hs_note_body_refused(hs, now);
	return false;
}

/* Many small bodies take as much as a few long ones. */
static bool hs_body_fits(const struct hs *hs, size_t claim)
{
	return abuf_fits(claim, hs->body_bytes - claim) &&
	       hs->body_bytes <= HS_BODIES_MAX;
}

/* Sets what a connection has claimed for a body, in bytes. */
void hs_claim(struct hs_conn *conn, size_t claim)
{
	conn->hs->body_bytes += claim;
	conn->hs->body_bytes -= conn->body_claim;
	conn->body_claim = claim;
}

/*
 * Ends a request of whose body, which has claimed more than so many bytes,
 * nothing has come for as long as a header may take; false if there is none.
 */
bool hs_drop_late_body(struct hs *hs, size_t claim, int64_t now)
{
	struct hs_conn *conn;

	cds_list_for_each_entry (conn, &hs->conns, node) {
		if (conn->state != HS_READING || now < conn->body_by_us ||
		    conn->body_claim <= claim)
			continue;
		hs_send_error(conn, 408);
		return true;
	}
	return false;
}

static void hs_note_body_refused(struct hs *hs, int64_t now)
{
	hs->bodies_refused++;
	if (now >= hs->bodies_refused_by_us)
		jlog(LOG_BODY_REFUSED, "\"bytes\":%zu,\"connections\":%d",
		     hs->body_bytes, hs->connections);
	hs->bodies_refused_by_us = now + HS_SERIES_US;
}
