/*
 * The age of the configuration while the store is restored from an older
 * backup (src/era.c, era_is_authoritative).  A key is removed at any moment.
 * The backup may lack that change; the operator then writes it again within
 * SETTLE of the restore.
 *
 * Property: a router that still holds the old configuration never considers it
 * confirmed at a moment after the change.
 *
 * Faults, each of which must violate the property:
 * NO_SETTLE: the restored contents confirm the configuration at once.
 * EARLY_SETTLE: the settle time starts at the restore instead of when the
 * router sees it, and ends before the operator has written.
 */

#define SETTLE 2
#define MAX_TIME 7

byte now = 1;
byte era = 1;
byte changed_at = 0;	/* 0: not yet */
bool has_change;	/* the store holds the new configuration */
byte restored_at = 0;

byte known_era[2] = { 1, 1 };
byte settled[2];
byte confirmed[2];
bool has_new[2];	/* the router holds the new configuration */

/* A claim of the first router to the second one, not yet received. */
byte claim_confirmed;
byte claim_era;

inline read(r) {
	if
	:: known_era[r] < era ->
		known_era[r] = era;
#ifdef EARLY_SETTLE
		settled[r] = restored_at
#else
		settled[r] = now + SETTLE
#endif
	:: else ->
		if
		:: has_change -> has_new[r] = true
		:: else
		fi;
#ifdef NO_SETTLE
		confirmed[r] = now
#else
		if
		:: now >= settled[r] -> confirmed[r] = now
		:: else
		fi
#endif
	fi
}

active proctype world() {
	do
	:: atomic { now < MAX_TIME &&
		(has_change || changed_at == 0 || now + 1 < restored_at + SETTLE) ->
		now++ }
	:: atomic { changed_at == 0 && now < MAX_TIME ->
		changed_at = now; has_change = true }
	/* The store is restored from a backup that lacks the change, or has it. */
	:: atomic { era < 3 && now < MAX_TIME - SETTLE - 1 ->
		era++;
		restored_at = now;
		if
		:: has_change = false
		:: skip
		fi }
	:: atomic { changed_at != 0 && !has_change -> has_change = true }
	:: now >= MAX_TIME -> break
	od
}

active [2] proctype router() {
	byte me = _pid - 1;

	do
	:: atomic { now < MAX_TIME -> read(me) }
	:: atomic { now < MAX_TIME && me == 0 && claim_era == 0 ->
		claim_confirmed = confirmed[0]; claim_era = known_era[0] }
	:: atomic { now < MAX_TIME && me == 1 && claim_era != 0 ->
		if
		:: claim_era == known_era[1] && (!has_new[0] || has_new[1]) ->
			if
			:: claim_confirmed > confirmed[1] -> confirmed[1] = claim_confirmed
			:: else
			fi
		:: else
		fi;
		claim_era = 0; claim_confirmed = 0 }
	:: now >= MAX_TIME -> break
	od
}

active proctype monitor() {
	byte r;

	do
	:: atomic { now < MAX_TIME ->
		assert(changed_at == 0 || has_new[0] || confirmed[0] <= changed_at);
		assert(changed_at == 0 || has_new[1] || confirmed[1] <= changed_at) }
	:: now >= MAX_TIME -> break
	od
}
