/*
 * At most once: the protocol of src/ldg*.c for one segment of records, with
 * the states and verdicts of src/ldg_int.h and src/ldg.h.
 *
 * A process `attempt` is what one instance does for one request.  Any of its
 * steps may come arbitrarily late (a pause) or never (the instance died; a
 * restarted one remembers nothing, so it is the next attempt's process).
 * `caller` sends its attempts one after the other, each through another
 * instance; it may give up waiting once its deadline is over, or send the
 * next one beside the first.  `network` lands writes that hung in it.
 *
 * Each rule has a switch that takes it away; `spec/run` shows that the model
 * then fails.  DOWNKEY models a service that runs a downstream key once.
 */

#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
#ifndef FAULTS
#define FAULTS 1		/* answers and writes that the service loses */
#endif
#ifndef TAPS
#define TAPS 1			/* attempts sent beside the one before */
#endif
#ifdef OTHER			/* the last attempt is another intent's */
#define INTENT(i) ((i) / (ATTEMPTS - 1))
#else
#define INTENT(i) 0
#endif

mtype = { NONE, REC_RESERVED, REC_AMBIGUOUS, REC_RELEASED, REC_SETTLED };
mtype = { NOTHING, RAN, NOT_RUN, UNKNOWN };

typedef record {
	mtype state = NONE;
	byte nonce;		/* the attempt that reserved it */
	bool takeovers
};

record seg[2];			/* the segment: a record for each intent */
byte version;			/* of the segment in the service */
byte faults = FAULTS;
byte taps = TAPS;

bool pending[ATTEMPTS];		/* a reservation that may still land */
byte pending_version[ATTEMPTS];
bool pending_takeover[ATTEMPTS];

byte runs[2];			/* effects of an intent at the endpoints */
byte leftover;			/* an answer nobody took: its intent + 1 */

bool sent[ATTEMPTS];
bool late[ATTEMPTS];		/* the attempt's stored deadline is over */
bool closed[ATTEMPTS];		/* answered, or given up by its caller */
bool ran[ATTEMPTS];
bool barred[ATTEMPTS];		/* a caller was told that it was not run */
mtype told[ATTEMPTS] = NOTHING;
byte before[ATTEMPTS];		/* attempts closed when this one was sent */

/* The caller hears an answer.  not-run speaks for this attempt and for all
 * earlier ones that the caller had closed when it sent this one. */
inline tell(what)
{
	atomic {
		if
		:: closed[i] || told[i] != NOTHING -> skip
		:: else ->
			told[i] = what;
			if
			:: what == NOT_RUN ->
				for (k : 0 .. ATTEMPTS - 1) {
					if
					:: k == i || (before[i] >> k) & 1 ->
						assert(!ran[k]);
						barred[k] = true
					:: else -> skip
					fi
				}
				k = 0
			:: what == RAN -> assert(runs[INTENT(i)] > 0)
			:: else -> skip
			fi
		fi
	}
}

inline read_segment()
{
	d_step {
		v = version;
		s = seg[INTENT(i)].state;
		n = seg[INTENT(i)].nonce
	}
}

inline reserve(j, takeover)
{
	assert(told[j] != NOT_RUN);
	seg[INTENT(j)].state = REC_RESERVED;
	seg[INTENT(j)].nonce = j;
	seg[INTENT(j)].takeovers = takeover;
	version++
}

/* The endpoint runs the work. */
inline run_effect()
{
	assert(!barred[i]);
	ran[i] = true;
#ifdef DOWNKEY
	if
	:: runs[INTENT(i)] == 0 -> runs[INTENT(i)]++
	:: else -> skip
	fi
#else
	runs[INTENT(i)]++;
	assert(runs[INTENT(i)] <= 1)
#endif
}

#ifdef NO_VERSION		/* the write is not a compare-and-swap */
#define UNCHANGED true
#else
#define UNCHANGED (v == version)
#endif
#ifdef NO_OWN_NONCE		/* any reservation is taken for one's own */
#define OWN (s == REC_RESERVED && (n == i || unsure))
#else
#define OWN (s == REC_RESERVED && n == i)
#endif
#ifdef NO_FRESH_VIEW		/* not-run is judged from a cached view */
#define FRESH true
#else
#define FRESH fresh
#endif
#ifdef NO_MOVE_ON		/* not-run beside an unanswered swap */
#define SURE true
#else
#define SURE !unsure
#endif
#if defined(DOWNKEY) || defined(TAKEOVER_ALWAYS)
#define MAY_RESEND true
#else
#define MAY_RESEND false
#endif
#define FREE (s == NONE || s == REC_RELEASED)

proctype attempt(byte i)
{
	byte v, n, unsure_version;
	byte k;
	mtype s = NONE;
	bool fresh, unsure, taken;

	read_segment();		/* what this instance's cache holds */
	sent[i];
#ifdef NO_RESERVE_FIRST
	goto dispatch;
#endif
judge:	if
	:: s == REC_SETTLED -> tell(RAN); goto given_up
	:: OWN -> goto go
	:: FREE -> goto swap
	:: !OWN && (s == REC_RESERVED || s == REC_AMBIGUOUS) ->
		if
		:: !fresh -> read_segment(); fresh = true; goto judge
		:: fresh && MAY_RESEND && (s == REC_AMBIGUOUS || late[n]) ->
			goto swap
#ifdef RELEASE_BY_OTHER		/* a late dispatcher's record is freed */
		:: fresh && late[n] -> s = REC_RELEASED; goto swap
#endif
		:: fresh -> tell(UNKNOWN); goto given_up
		fi
	:: FREE ->		/* limited, or its deadline is over */
		if
		:: FRESH && SURE -> tell(NOT_RUN)
		:: else -> tell(UNKNOWN)
		fi;
		goto given_up
	fi;

swap:	atomic {
		taken = !FREE;
		if
		:: UNCHANGED -> reserve(i, taken); goto go
		:: UNCHANGED && faults > 0 ->	/* landed, answer lost */
			faults--; unsure_version = v; unsure = true;
			reserve(i, taken)
		:: UNCHANGED && faults > 0 ->	/* hangs in the network */
			faults--; unsure_version = v; unsure = true;
			pending[i] = true; pending_version[i] = v;
			pending_takeover[i] = taken
		:: !UNCHANGED -> skip		/* conflict */
		fi
	};
	read_segment();
	fresh = true;
	goto judge;

go:	atomic { taken = seg[INTENT(i)].takeovers; v = 0; n = 0; fresh = false };
	if
#ifndef NO_DEADLINE_CHECK
	:: late[i] -> goto release
#endif
	:: !late[i] -> skip
#ifdef NO_DEADLINE_CHECK
	:: late[i] -> skip
#endif
	fi;

dispatch:			/* it may pause between the check and here */
	if
	:: skip ->		/* no connection was made */
		if
		:: taken -> tell(UNKNOWN)
		:: else -> tell(NOT_RUN)
		fi;
		goto release
	:: atomic { run_effect() };
		if
		:: skip -> goto answered
		:: skip ->
#ifdef OTHER
			leftover = INTENT(i) + 1;
#endif
			goto ambiguous
		fi
	:: leftover > 0 ->	/* another's late answer arrives first */
#ifdef NO_ID_CHECK
		assert(leftover == INTENT(i) + 1);
		tell(RAN);
#endif
		goto ambiguous
	:: goto ambiguous	/* it neither runs nor answers */
	fi;

answered:
	tell(RAN);
	atomic {
		if
		:: seg[INTENT(i)].state == REC_RESERVED ||
		   seg[INTENT(i)].state == REC_AMBIGUOUS ->
			seg[INTENT(i)].state = REC_SETTLED;
			version++
		:: else -> skip
		fi
	};
	goto end;

ambiguous:
#ifdef RESEND_AMBIGUOUS		/* another endpoint is tried */
	run_effect();
#endif
	tell(UNKNOWN);
#ifdef RELEASE_AMBIGUOUS
	goto release;
#endif
	atomic {
		if
		:: seg[INTENT(i)].state == REC_RESERVED &&
		   seg[INTENT(i)].nonce == i ->
			seg[INTENT(i)].state = REC_AMBIGUOUS;
			version++
		:: else -> skip
		fi
	};
	goto end;

given_up:			/* an unanswered swap must not land later */
	atomic { v = 0; n = 0; s = NONE; fresh = false };
release:
	atomic {
		if
#ifdef END_WITHOUT_NONCE
		:: seg[INTENT(i)].state != NONE ->
#else
		:: seg[INTENT(i)].state == REC_RESERVED &&
		   seg[INTENT(i)].nonce == i ->
#endif
			if
#ifndef FREE_AFTER_TAKEOVER
			:: seg[INTENT(i)].takeovers ->
				seg[INTENT(i)].state = REC_AMBIGUOUS
#endif
			:: else -> seg[INTENT(i)].state = REC_RELEASED
			fi;
			version++
		:: else ->
			if
			:: unsure && version == unsure_version -> version++
			:: else -> skip
			fi
		fi
	};
end:	atomic { v = 0; n = 0; s = NONE; unsure = false; unsure_version = 0;
		taken = false; fresh = false }
}

proctype caller(byte first, last)
{
	byte i = first, k, mask;

	do
	:: i > last -> break
	:: i <= last ->
		atomic {
			mask = 0;
			for (k : first .. last) {
				if
				:: closed[k] -> mask = mask | (1 << k)
				:: else -> skip
				fi
			}
			before[i] = mask;
			k = 0; mask = 0;
			sent[i] = true
		};
		if
		:: told[i] != NOTHING -> closed[i] = true
		:: told[i] == NOTHING ->	/* gives up at its deadline */
			atomic { late[i] = true; closed[i] = true }
		:: taps > 0 -> taps--		/* taps twice */
		fi;
		i++
	od
}

#define LANDS(j) \
	:: pending[j] -> atomic { \
		pending[j] = false; \
		if \
		:: pending_version[j] == version -> \
			reserve(j, pending_takeover[j]) \
		:: else -> skip \
		fi; \
		pending_version[j] = 0; \
		pending_takeover[j] = false }

proctype network()
{
	do
	LANDS(0)
	LANDS(1)
#if ATTEMPTS > 2
	LANDS(2)
#endif
	od
}

init
{
	byte i;

	atomic {
		for (i : 0 .. ATTEMPTS - 1) {
			run attempt(i)
		}
#ifdef OTHER
		run caller(0, ATTEMPTS - 2);
		run caller(ATTEMPTS - 1, ATTEMPTS - 1);
#else
		run caller(0, ATTEMPTS - 1);
#endif
		run network()
	}
}
