/*
 * The age of the configuration while the store comes back from an older copy
 * (src/era.c, edge_fresh).  A key is taken away at any moment; the copy may lack
 * that change, and the operator writes it again within SETTLE of the return.
 *
 * Promise: a router that still holds the old configuration never takes it for
 * known to be current at a moment after the change.
 *
 * NO_SETTLE: what the copy shows counts at once.
 * EARLY_SETTLE: the time runs from the return and not from when it was seen,
 * and ends before the operator has written.
 */

#define SETTLE 2
#define TIMES 7

byte now = 1;
byte era = 1;
byte changed_at = 0;	/* 0: not yet */
bool has_change;	/* the store's configuration is the new one */
byte returned_at = 0;

byte seen_era[2] = { 1, 1 };
byte settled[2];
byte fresh[2];
bool has_new[2];	/* the router holds the new configuration */

/* A claim of the first router to the second one, on its way. */
byte claim_fresh;
byte claim_era;

inline read(r) {
	if
	:: seen_era[r] < era ->
		seen_era[r] = era;
#ifdef EARLY_SETTLE
		settled[r] = returned_at
#else
		settled[r] = now + SETTLE
#endif
	:: else ->
		if
		:: has_change -> has_new[r] = true
		:: else
		fi;
#ifdef NO_SETTLE
		fresh[r] = now
#else
		if
		:: now >= settled[r] -> fresh[r] = now
		:: else
		fi
#endif
	fi
}

active proctype world() {
	do
	:: atomic { now < TIMES &&
		(has_change || changed_at == 0 || now + 1 < returned_at + SETTLE) ->
		now++ }
	:: atomic { changed_at == 0 && now < TIMES ->
		changed_at = now; has_change = true }
	/* Back from a copy that lacks the change, or has it. */
	:: atomic { era < 3 && now < TIMES - SETTLE - 1 ->
		era++;
		returned_at = now;
		if
		:: has_change = false
		:: skip
		fi }
	:: atomic { changed_at != 0 && !has_change -> has_change = true }
	:: now >= TIMES -> break
	od
}

active [2] proctype router() {
	byte me = _pid - 1;

	do
	:: atomic { now < TIMES -> read(me) }
	:: atomic { now < TIMES && me == 0 && claim_era == 0 ->
		claim_fresh = fresh[0]; claim_era = seen_era[0] }
	:: atomic { now < TIMES && me == 1 && claim_era != 0 ->
		if
		:: claim_era == seen_era[1] && (!has_new[0] || has_new[1]) ->
			if
			:: claim_fresh > fresh[1] -> fresh[1] = claim_fresh
			:: else
			fi
		:: else
		fi;
		claim_era = 0; claim_fresh = 0 }
	:: now >= TIMES -> break
	od
}

active proctype watch() {
	byte r;

	do
	:: atomic { now < TIMES ->
		assert(changed_at == 0 || has_new[0] || fresh[0] <= changed_at);
		assert(changed_at == 0 || has_new[1] || fresh[1] <= changed_at) }
	:: now >= TIMES -> break
	od
}
