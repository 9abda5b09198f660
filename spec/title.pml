/*
 * The placer's title while the store comes back from an older copy (src/pres.c).
 * The store loses the title, gives its lease number out again, and the new era
 * is seen by each of two routers at any later moment.
 *
 * Promise: no two routers take themselves for the placer at the same time.
 *
 * NO_STAND_WAIT: a router that sees the new era stands at once.
 * ANY_LEASE: a holder goes on when its lease number can be renewed.
 * NO_TITLE_END: a holder's title does not end by its own clock.
 */

#define LEASE 2
#define TIMES 8
#define NOBODY 2

byte now = 1;
byte era = 1;
byte holder = 0;	/* by the store's key */
byte lease = 7;		/* number of the key's lease; 0: none */
byte lapses = 3;	/* the key's lease ends then */
byte other_lease = 0;	/* a number given to somebody else */

byte seen_era[2] = { 1, 1 };
byte own_lease[2] = { 7, 0 };
byte valid[2] = { 3, 0 };	/* the title holds before then */
byte stand_after[2];

#ifdef NO_TITLE_END
#define IS_PLACER(r) (own_lease[r] != 0)
#else
#define IS_PLACER(r) (own_lease[r] != 0 && now < valid[r])
#endif

inline see(r) {
	if
	:: seen_era[r] < era ->
		seen_era[r] = era;
#ifndef NO_STAND_WAIT
		stand_after[r] = now + LEASE;
#endif
		/* It goes on only if the key is its own, under its lease. */
		if
		:: holder == r && own_lease[r] == lease
		:: else ->
#ifdef ANY_LEASE
			if
			:: own_lease[r] != 0 && own_lease[r] == other_lease
			:: else -> own_lease[r] = 0; valid[r] = 0
			fi
#else
			own_lease[r] = 0;
			valid[r] = 0
#endif
		fi
	:: else
	fi
}

inline renew(r) {
	/* The answer is of the era that is seen, or it counts as lost. */
	if
	:: own_lease[r] != 0 && seen_era[r] == era && own_lease[r] == lease &&
	   holder == r -> lapses = now + LEASE; valid[r] = now + LEASE
#ifdef ANY_LEASE
	:: own_lease[r] != 0 && seen_era[r] == era &&
	   own_lease[r] == other_lease -> valid[r] = now + LEASE
#endif
	:: else -> see(r)
	fi
}

inline stand(r) {
	see(r);
	if
	:: own_lease[r] == 0 && holder == NOBODY && now >= stand_after[r] ->
		holder = r;
		lease = 8 + r;
		lapses = now + LEASE;
		own_lease[r] = lease;
		valid[r] = now + LEASE
	:: else
	fi
}

active proctype world() {
	do
	:: atomic { now < TIMES -> now++;
		if
		:: holder != NOBODY && now >= lapses ->
			holder = NOBODY;
			lease = 0
		:: else
		fi }
	/* The store comes back from a copy that lacks the title, or has it. */
	:: atomic { era < 3 && now < TIMES - 2 -> era++;
		if
		:: holder = NOBODY; lease = 0; other_lease = 7
		:: holder != NOBODY -> lapses = now + LEASE
		fi }
	:: atomic { now >= TIMES -> break }
	od
}

active [2] proctype router() {
	byte me = _pid - 1;

	do
	:: atomic { now < TIMES -> renew(me) }
	:: atomic { now < TIMES -> stand(me) }
	:: now >= TIMES -> break
	od
}

active proctype watch() {
	do
	:: atomic { assert(!(IS_PLACER(0) && IS_PLACER(1))); now < TIMES }
	:: now >= TIMES -> break
	od
}
