/*
 * Routers attest for the age of the configuration (src/attest.c).  A key is taken
 * away once, at any moment.  Two routers read the store, the first one
 * tells the second one what it knows; they are frozen anywhere in between, and
 * the second one starts anew.  Messages are held up for as long as they like.
 *
 * Promise: a router that still holds the old configuration never takes it for
 * known to be current at a moment after the change.  With the bound on the
 * trust, that is "a removed key stops in time".
 *
 * RECEIVED_AGE: the age in a message counts from its arrival.
 * ANY_VERSION: a peer's word counts whatever version it is about.
 */

#define TIMES 4
#define TELLER 0
#define HEARER 1

#ifdef ANY_VERSION
#define FITS true
#else
#define FITS (word_version <= version[HEARER])
#endif

byte now = 1;
byte changed_at = 0;	/* 0: not yet */
byte fresh[2];		/* 0: never */
byte version[2];	/* 0: none, 1: old, 2: new */

/* A read of the store on its way; version 0: it has not looked yet. */
byte read_sent[2];
byte read_version[2];

/* The newest clock of the second one that the first one has heard. */
byte heard;

/* The message, written and not yet arrived; version 0: none. */
byte word_echo;
byte word_age;
byte word_version;

inline safe() {
	assert(changed_at == 0 || version[0] != 1 || fresh[0] <= changed_at);
	assert(changed_at == 0 || version[1] != 1 || fresh[1] <= changed_at)
}

inline take_word() {
#ifdef RECEIVED_AGE
	tmp = now - word_age;
#else
	tmp = (word_echo > word_age -> word_echo - word_age : 0);
#endif
	if
	:: version[HEARER] > 0 && tmp > fresh[HEARER] && FITS ->
		fresh[HEARER] = tmp
	:: else
	fi;
	word_version = 0;
	word_echo = 0;
	word_age = 0;
	tmp = 0
}

/* A read is sent, looks at the store, and comes back. */
inline read_back(r) {
	if
	:: read_version[r] > version[r] -> version[r] = read_version[r]
	:: else
	fi;
	if
	:: read_sent[r] > fresh[r] -> fresh[r] = read_sent[r]
	:: else
	fi;
	read_sent[r] = 0;
	read_version[r] = 0
}

active proctype world() {
	byte tmp = 0;

	do
	:: now < TIMES -> now++
	:: changed_at == 0 -> changed_at = now
	:: read_sent[0] == 0 -> read_sent[0] = now
	:: read_sent[1] == 0 -> read_sent[1] = now
	:: read_sent[0] > 0 && read_version[0] == 0 ->
		read_version[0] = (changed_at > 0 -> 2 : 1)
	:: read_sent[1] > 0 && read_version[1] == 0 ->
		read_version[1] = (changed_at > 0 -> 2 : 1)
	:: read_version[0] > 0 -> atomic { read_back(0); safe() }
	:: read_version[1] > 0 -> atomic { read_back(1); safe() }
	:: heard < now -> heard = now
	:: word_version == 0 && fresh[TELLER] > 0 && heard > 0 -> atomic {
			word_echo = heard;
			word_age = now - fresh[TELLER];
			word_version = version[TELLER]
		}
	:: word_version > 0 -> atomic { take_word(); safe() }
	:: version[HEARER] > 0 -> atomic {
			/* What was meant for its predecessor names another
			 * session. */
			version[HEARER] = 0;
			fresh[HEARER] = 0;
			read_sent[HEARER] = 0;
			read_version[HEARER] = 0;
			heard = 0;
			word_version = 0;
			word_echo = 0;
			word_age = 0
		}
	:: now == TIMES -> break
	od
}
