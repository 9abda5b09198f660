/*
 * Routers attest the age of the configuration (src/attest.c).  A key is
 * removed once, at any moment.  Two routers read the store, and the first one
 * sends the second one claims about what it knows.  Either router may be
 * suspended at any point, and the second one may restart.  Messages may be
 * delayed for any time.
 *
 * Property: a router that still holds the old configuration never considers it
 * confirmed at a moment after the change.  Together with the bound on how long
 * keys are trusted, this means that a removed key is refused in time.
 *
 * Faults, each of which must violate the property:
 * RECEIVED_AGE: the age in a message is counted from its arrival.
 * ANY_VERSION: a claim is accepted whatever version it concerns.
 */

#define MAX_TIME 4
#define SENDER 0
#define RECEIVER 1

#ifdef ANY_VERSION
#define VERSION_MATCHES true
#else
#define VERSION_MATCHES (claim_version <= version[RECEIVER])
#endif

byte now = 1;
byte changed_at = 0;	/* 0: not yet */
byte confirmed[2];	/* last confirmation; 0: never */
byte version[2];	/* 0: none, 1: old, 2: new */

/* A read of the store in progress; version 0: not yet executed. */
byte read_sent[2];
byte read_version[2];

/* The receiver's newest clock reading that has reached the sender. */
byte received_clock;

/* The claim that was written but has not arrived; version 0: none. */
byte claim_echo;
byte claim_age;
byte claim_version;

inline check_property() {
	assert(changed_at == 0 || version[0] != 1 || confirmed[0] <= changed_at);
	assert(changed_at == 0 || version[1] != 1 || confirmed[1] <= changed_at)
}

inline receive_claim() {
#ifdef RECEIVED_AGE
	confirmed_then = now - claim_age;
#else
	confirmed_then = (claim_echo > claim_age -> claim_echo - claim_age : 0);
#endif
	if
	:: version[RECEIVER] > 0 && confirmed_then > confirmed[RECEIVER] && VERSION_MATCHES ->
		confirmed[RECEIVER] = confirmed_then
	:: else
	fi;
	claim_version = 0;
	claim_echo = 0;
	claim_age = 0;
	confirmed_then = 0
}

/* Handles the answer to a read of the store. */
inline finish_read(r) {
	if
	:: read_version[r] > version[r] -> version[r] = read_version[r]
	:: else
	fi;
	if
	:: read_sent[r] > confirmed[r] -> confirmed[r] = read_sent[r]
	:: else
	fi;
	read_sent[r] = 0;
	read_version[r] = 0
}

active proctype world() {
	byte confirmed_then = 0;

	do
	:: now < MAX_TIME -> now++
	:: changed_at == 0 -> changed_at = now
	:: read_sent[0] == 0 -> read_sent[0] = now
	:: read_sent[1] == 0 -> read_sent[1] = now
	:: read_sent[0] > 0 && read_version[0] == 0 ->
		read_version[0] = (changed_at > 0 -> 2 : 1)
	:: read_sent[1] > 0 && read_version[1] == 0 ->
		read_version[1] = (changed_at > 0 -> 2 : 1)
	:: read_version[0] > 0 -> atomic { finish_read(0); check_property() }
	:: read_version[1] > 0 -> atomic { finish_read(1); check_property() }
	:: received_clock < now -> received_clock = now
	:: claim_version == 0 && confirmed[SENDER] > 0 && received_clock > 0 -> atomic {
			claim_echo = received_clock;
			claim_age = now - confirmed[SENDER];
			claim_version = version[SENDER]
		}
	:: claim_version > 0 -> atomic { receive_claim(); check_property() }
	:: version[RECEIVER] > 0 -> atomic {
			/* The receiver restarts.  A claim for its predecessor
			 * names another session and is discarded. */
			version[RECEIVER] = 0;
			confirmed[RECEIVER] = 0;
			read_sent[RECEIVER] = 0;
			read_version[RECEIVER] = 0;
			received_clock = 0;
			claim_version = 0;
			claim_echo = 0;
			claim_age = 0
		}
	:: now == MAX_TIME -> break
	od
}
