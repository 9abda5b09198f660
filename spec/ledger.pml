/*
 * At-most-once execution: the protocol of src/ldg*.c for one segment of
 * records, with the states and verdicts of src/ldg_int.h and src/ldg.h.
 *
 * A process `attempt` is what one instance does for one request.  Any of its
 * steps may happen arbitrarily late (a pause) or never (the instance died; a
 * restarted one has no memory, so it is the next attempt's process).  `caller`
 * sends its attempts one after the other, each through another instance.  It
 * may stop waiting once its deadline has passed, or send the next attempt
 * while the first is open.  `network` lands delayed writes.
 *
 * Each rule has a switch that removes it; `spec/run` shows that the model then
 * fails.  DOWNKEY models a service that runs each downstream key once, LATE_END
 * an attempt whose outcome arrives after its caller was answered.
 */

#ifndef ATTEMPTS
#define ATTEMPTS 3
#endif
#ifndef FAULTS
#define FAULTS 1		/* replies and writes that get lost or late */
#endif
#ifndef TAPS
#define TAPS 1			/* attempts sent while the previous is open */
#endif
#ifdef OTHER			/* the last attempt has another intent */
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

record seg[2];			/* the segment: one record per intent */
byte version;			/* of the segment in the key-value service */
byte faults = FAULTS;
byte duplicates = TAPS;

bool pending[ATTEMPTS];		/* a reservation that may still land */
byte pending_version[ATTEMPTS];
bool pending_takeover[ATTEMPTS];

byte runs[2];			/* runs of an intent at the endpoints */
byte stray_answer;		/* an unread answer: its intent + 1 */

bool sent[ATTEMPTS];
bool late[ATTEMPTS];		/* the attempt's stored deadline has passed */
bool closed[ATTEMPTS];		/* answered, or its caller stopped waiting */
bool ran[ATTEMPTS];
bool reported_not_run[ATTEMPTS]; /* a caller was told not-run */
mtype told[ATTEMPTS] = NOTHING;
byte closed_before[ATTEMPTS];	/* attempts closed when this one was sent */

/* The caller gets an answer.  not-run covers this attempt and all earlier ones
 * that the caller had closed when it sent this one. */
inline answer_caller(what)
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
					:: k == i ||
					   (closed_before[i] >> k) & 1 ->
						assert(!ran[k]);
						reported_not_run[k] = true
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

/* The endpoint runs the request. */
inline run_effect()
{
	assert(!reported_not_run[i]);
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
#ifdef NO_OWN_NONCE		/* any reservation counts as its own */
#define OWN (s == REC_RESERVED && (n == i || unanswered))
#else
#define OWN (s == REC_RESERVED && n == i)
#endif
#ifdef NO_FRESH_VIEW		/* not-run is decided from a cached segment */
#define FRESH true
#else
#define FRESH fresh
#endif
#ifdef NO_MOVE_ON		/* not-run despite an unanswered swap */
#define ALL_ANSWERED true
#else
#define ALL_ANSWERED !unanswered
#endif
#if defined(DOWNKEY) || defined(TAKEOVER_ALWAYS)
#define MAY_RESEND true
#else
#define MAY_RESEND false
#endif
#define FREE (s == NONE || s == REC_RELEASED)

proctype attempt(byte i)
{
	byte v, n, unanswered_version;
	byte k;
	mtype s = NONE;
	bool fresh, unanswered, is_takeover;

	read_segment();		/* what this instance has cached */
	sent[i];
#ifdef NO_RESERVE_FIRST
	goto dispatch;
#endif
evaluate:
	if
	:: s == REC_SETTLED -> answer_caller(RAN); goto cancelled
	:: OWN -> goto reserved
	:: FREE -> goto swap
	:: !OWN && (s == REC_RESERVED || s == REC_AMBIGUOUS) ->
		if
		:: !fresh -> read_segment(); fresh = true; goto evaluate
		:: fresh && MAY_RESEND && (s == REC_AMBIGUOUS || late[n]) ->
			goto swap
#ifdef RELEASE_BY_OTHER		/* an overdue dispatcher's record is freed */
		:: fresh && late[n] -> s = REC_RELEASED; goto swap
#endif
		:: fresh -> answer_caller(UNKNOWN); goto cancelled
		fi
	:: FREE ->		/* limited, or its deadline has passed */
		if
		:: FRESH && ALL_ANSWERED -> answer_caller(NOT_RUN)
		:: else -> answer_caller(UNKNOWN)
		fi;
		goto cancelled
	fi;

swap:	atomic {
		is_takeover = !FREE;
		if
		:: UNCHANGED -> reserve(i, is_takeover); goto reserved
		:: UNCHANGED && faults > 0 ->	/* landed, reply lost */
			faults--;
			unanswered_version = v; unanswered = true;
			reserve(i, is_takeover)
		:: UNCHANGED && faults > 0 ->	/* delayed in the network */
			faults--;
			unanswered_version = v; unanswered = true;
			pending[i] = true; pending_version[i] = v;
			pending_takeover[i] = is_takeover
		:: !UNCHANGED -> skip		/* conflict */
		fi
	};
	read_segment();
	fresh = true;
	goto evaluate;

reserved:
	atomic {
		is_takeover = seg[INTENT(i)].takeovers;
		v = 0; n = 0; fresh = false
	};
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
		:: is_takeover -> answer_caller(UNKNOWN)
		:: else -> answer_caller(NOT_RUN)
		fi;
		goto release
	:: atomic { run_effect() };
		if
		:: skip -> goto answered
		:: skip ->
#ifdef OTHER
			stray_answer = INTENT(i) + 1;
#endif
			goto ambiguous
		fi
	:: stray_answer > 0 ->	/* another request's answer arrives first */
#ifdef NO_ID_CHECK
		assert(stray_answer == INTENT(i) + 1);
		answer_caller(RAN);
#endif
		goto ambiguous
	:: goto ambiguous	/* it neither runs nor is answered */
	fi;

answered:
	answer_caller(RAN);
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
	answer_caller(UNKNOWN);
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
#ifdef LATE_END			/* the outcome may arrive after the answer */
	if
	:: skip
	:: ran[i] -> goto answered
	:: !ran[i] -> goto release	/* proved that nothing was sent */
	fi;
#endif
	goto end;

cancelled:			/* an unanswered swap must not land later */
	atomic { v = 0; n = 0; s = NONE; fresh = false };
release:
	atomic {
		if
#ifdef END_WITHOUT_NONCE
		:: seg[INTENT(i)].state != NONE ->
#else
		:: (seg[INTENT(i)].state == REC_RESERVED ||
		    seg[INTENT(i)].state == REC_AMBIGUOUS) &&
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
			:: unanswered && version == unanswered_version ->
				version++
			:: else -> skip
			fi
		fi
	};
end:	atomic {
		v = 0; n = 0; s = NONE;
		unanswered = false; unanswered_version = 0;
		is_takeover = false; fresh = false
	}
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
			closed_before[i] = mask;
			k = 0; mask = 0;
			sent[i] = true
		};
		if
		:: told[i] != NOTHING -> closed[i] = true
		:: told[i] == NOTHING ->	/* until its deadline */
			atomic { late[i] = true; closed[i] = true }
		:: duplicates > 0 -> duplicates-- /* sends the next one too */
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
