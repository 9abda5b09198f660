/*
 * The placer role while the store is restored from an older backup
 * (src/pres.c).  The store loses the placer's key and assigns its lease number
 * again; each of two routers sees the new era at any later moment.
 *
 * Property: no two routers consider themselves the placer at the same time.
 *
 * Faults, each of which must violate the property:
 * NO_STAND_WAIT: a router that sees the new era tries to become placer at once.
 * ANY_LEASE: a holder remains placer if its lease number can be renewed.
 * NO_TITLE_END: a holder's role does not expire by its own clock.
 */

#define LEASE 2
#define MAX_TIME 8
#define NO_HOLDER 2

byte now = 1;
byte era = 1;
byte holder = 0;	/* according to the placer's key in the store */
byte lease = 7;		/* number of the key's lease; 0: none */
byte expires = 3;	/* the key's lease expires then */
byte other_lease = 0;	/* a lease number assigned to another holder */

byte known_era[2] = { 1, 1 };
byte own_lease[2] = { 7, 0 };
byte valid_until[2] = { 3, 0 };	/* the role is valid before then */
byte acquire_after[2];

#ifdef NO_TITLE_END
#define IS_PLACER(r) (own_lease[r] != 0)
#else
#define IS_PLACER(r) (own_lease[r] != 0 && now < valid_until[r])
#endif

inline observe_era(r) {
	if
	:: known_era[r] < era ->
		known_era[r] = era;
#ifndef NO_STAND_WAIT
		acquire_after[r] = now + LEASE;
#endif
		/* It remains placer only if the key is its own, under its lease. */
		if
		:: holder == r && own_lease[r] == lease
		:: else ->
#ifdef ANY_LEASE
			if
			:: own_lease[r] != 0 && own_lease[r] == other_lease
			:: else -> own_lease[r] = 0; valid_until[r] = 0
			fi
#else
			own_lease[r] = 0;
			valid_until[r] = 0
#endif
		fi
	:: else
	fi
}

inline renew(r) {
	/* An answer from an era other than the known one counts as lost. */
	if
	:: own_lease[r] != 0 && known_era[r] == era && own_lease[r] == lease &&
	   holder == r -> expires = now + LEASE; valid_until[r] = now + LEASE
#ifdef ANY_LEASE
	:: own_lease[r] != 0 && known_era[r] == era &&
	   own_lease[r] == other_lease -> valid_until[r] = now + LEASE
#endif
	:: else -> observe_era(r)
	fi
}

inline acquire(r) {
	observe_era(r);
	if
	:: own_lease[r] == 0 && holder == NO_HOLDER && now >= acquire_after[r] ->
		holder = r;
		lease = 8 + r;
		expires = now + LEASE;
		own_lease[r] = lease;
		valid_until[r] = now + LEASE
	:: else
	fi
}

active proctype world() {
	do
	:: atomic { now < MAX_TIME -> now++;
		if
		:: holder != NO_HOLDER && now >= expires ->
			holder = NO_HOLDER;
			lease = 0
		:: else
		fi }
	/* The store is restored from a backup that lacks the key, or has it. */
	:: atomic { era < 3 && now < MAX_TIME - 2 -> era++;
		if
		:: holder = NO_HOLDER; lease = 0; other_lease = 7
		:: holder != NO_HOLDER -> expires = now + LEASE
		fi }
	:: atomic { now >= MAX_TIME -> break }
	od
}

active [2] proctype router() {
	byte me = _pid - 1;

	do
	:: atomic { now < MAX_TIME -> renew(me) }
	:: atomic { now < MAX_TIME -> acquire(me) }
	:: now >= MAX_TIME -> break
	od
}

active proctype monitor() {
	do
	:: atomic { assert(!(IS_PLACER(0) && IS_PLACER(1))); now < MAX_TIME }
	:: now >= MAX_TIME -> break
	od
}
