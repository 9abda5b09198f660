/*
 * Tickets, a protocol for outages of the key-value service.  An instance, the
 * home, issues a ticket with an earlier answer.  During an outage a request
 * under a key of that ticket is decided by the home's memory alone; other
 * instances only forward it.  The home may die and restart with another
 * incarnation and no memory; messages may arrive late; endpoints may run
 * without answering.  Checked: an intent runs at most once; not-run is never
 * answered for an intent that ran, nor for an attempt that runs later.  Not
 * implemented: see docs/LEDGER.md.
 */

#define ATTEMPTS 3

/* The home's memory of the key, and the answer to the caller. */
mtype = { M_NONE, M_RUNNING, M_RAN };
mtype = { T_NOTHING, T_RAN, T_NOT_RUN, T_UNKNOWN };

mtype key_state = M_NONE;
byte incarnation = 1;		/* of the home; 1 issued the ticket */
byte runs;
mtype told[ATTEMPTS];
bool reported_not_run[ATTEMPTS]; /* told not-run: must not run any more */
bool in_ledger;			/* the key has a stored record */

inline answer_caller(i, what)
{
	if
	:: told[i] == T_NOTHING ->
		told[i] = what;
		printf("step: attempt %d is told %e\n", i, what);
		if
		:: what == T_NOT_RUN ->
			assert(runs == 0);
			report_not_run(i)
		:: else -> skip
		fi
	:: else -> skip
	fi
}

/* not-run covers this attempt and those before it. */
inline report_not_run(i)
{
	b = 0;
	do
	:: b < ATTEMPTS && b <= i -> reported_not_run[b] = true; b++
	:: else -> break
	od;
	b = 0
}

inline execute(i)
{
	printf("step: attempt %d: the endpoint runs it\n", i);
	assert(!reported_not_run[i]);
	runs++;
	assert(runs <= 1)
}

/* The home decides and dispatches; it may die between any two steps. */
proctype at_home(byte i)
{
	byte b;
	byte started_as = incarnation;

	atomic {
		if
#ifndef NO_DEADLINE_CHECK
		:: told[i] != T_NOTHING -> goto end	/* deadline passed */
#endif
#ifndef NO_INCARNATION
		:: incarnation != 1 -> answer_caller(i, T_UNKNOWN); goto end
#endif
		:: else -> skip
		fi;
		if
		:: key_state == M_RUNNING ->
			answer_caller(i, T_UNKNOWN); goto end
		:: key_state == M_RAN -> answer_caller(i, T_RAN); goto end
		:: key_state == M_NONE -> key_state = M_RUNNING;
			printf("step: attempt %d: the home stores the key\n", i)
		fi
	};
	if
	:: atomic { incarnation == started_as -> execute(i) };
		if
		:: atomic { incarnation == started_as ->
			key_state = M_RAN; answer_caller(i, T_RAN) }
		:: skip		/* answer lost; stays M_RUNNING */
		:: incarnation != started_as -> skip	/* restarted */
		fi
	:: atomic { incarnation == started_as ->
		key_state = M_NONE; answer_caller(i, T_NOT_RUN) }
	:: incarnation != started_as -> skip
	fi;
end:	skip
}

/* Another instance forwards; the message may arrive after the deadline. */
proctype at_other(byte i)
{
	byte b;

	if
	:: atomic { run at_home(i);
		printf("step: attempt %d is forwarded\n", i) }
	:: skip				/* lost */
#ifdef OTHER_DISPATCHES
	:: atomic { told[i] == T_NOTHING && incarnation != 1 ->
		execute(i); answer_caller(i, T_RAN) }
#endif
#ifdef LEDGER_TOO
	:: atomic { told[i] == T_NOTHING && !in_ledger ->
		in_ledger = true;
		printf("step: attempt %d: reserved in the ledger\n", i);
		execute(i); answer_caller(i, T_RAN) }
#endif
	fi
}

proctype home_dies()
{
	atomic { incarnation++; key_state = M_NONE;
		printf("step: the home dies and restarts\n") }
}

init
{
	byte i;
	byte b;

	do
	:: i < ATTEMPTS -> told[i] = T_NOTHING; i++
	:: else -> break
	od;
	i = 0;
	run home_dies();
	do
	:: i < ATTEMPTS ->
		if
		:: run at_home(i)
		:: run at_other(i)
		fi;
		/* No caller waits past its deadline. */
		if
		:: told[i] != T_NOTHING
		:: atomic { told[i] == T_NOTHING ->
			answer_caller(i, T_UNKNOWN) }
		fi;
		i++
	:: else -> break
	od
}
