/*
 * A ticket: an instance, the home, hands it out on an earlier answer, and
 * while the platform's service is out a booking under a key of that ticket is
 * decided by the home's memory alone.  Another instance only forwards.  The
 * home may die and come back with another incarnation and no memory; messages
 * may come late; endpoints may run without answering.  Checked: an intent
 * runs at most once; not-run is never said of an intent that ran, nor of an
 * attempt that later runs.  Not built: see docs/LEDGER.md.
 */

#define ATTEMPTS 3

mtype = { M_NONE, M_RUNNING, M_RAN };		/* the home's memory of the key */
mtype = { T_NOTHING, T_RAN, T_NOT_RUN, T_UNKNOWN };	/* told the caller */

mtype mem = M_NONE;
byte inc = 1;			/* the home's incarnation; the ticket names 1 */
byte runs;
mtype told[ATTEMPTS];
bool barred[ATTEMPTS];		/* told not-run: must not run any more */
bool in_ledger;			/* the key has a record in the service */

inline tell(i, what)
{
	if
	:: told[i] == T_NOTHING ->
		told[i] = what;
		printf("step: attempt %d is told %e\n", i, what);
		if
		:: what == T_NOT_RUN ->
			assert(runs == 0);
			bar(i)
		:: else -> skip
		fi
	:: else -> skip
	fi
}

/* An answer closes this attempt and those that were closed before it. */
inline bar(i)
{
	b = 0;
	do
	:: b < ATTEMPTS && b <= i -> barred[b] = true; b++
	:: else -> break
	od;
	b = 0
}

inline execute(i)
{
	printf("step: attempt %d: the endpoint runs it\n", i);
	assert(!barred[i]);
	runs++;
	assert(runs <= 1)
}

/* The home decides and dispatches; it may die between any two steps. */
proctype at_home(byte i)
{
	byte b;
	byte born = inc;

	atomic {
		if
#ifndef NO_DEADLINE_CHECK
		:: told[i] != T_NOTHING -> goto end	/* past its deadline */
#endif
#ifndef NO_INCARNATION
		:: inc != 1 -> tell(i, T_UNKNOWN); goto end
#endif
		:: else -> skip
		fi;
		if
		:: mem == M_RUNNING -> tell(i, T_UNKNOWN); goto end
		:: mem == M_RAN -> tell(i, T_RAN); goto end
		:: mem == M_NONE -> mem = M_RUNNING;
			printf("step: attempt %d: the home notes the key\n", i)
		fi
	};
	if
	:: atomic { inc == born -> execute(i) };		/* the endpoint runs it */
		if
		:: atomic { inc == born -> mem = M_RAN; tell(i, T_RAN) }
		:: skip			/* the answer is lost: stays running */
		:: inc != born -> skip	/* the home died */
		fi
	:: atomic { inc == born -> mem = M_NONE; tell(i, T_NOT_RUN) }
	:: inc != born -> skip
	fi;
end:	skip
}

/* The other instance forwards; the message may come after the deadline. */
proctype at_other(byte i)
{
	byte b;

	if
	:: atomic { run at_home(i);
		printf("step: attempt %d is forwarded\n", i) }
	:: skip				/* lost */
#ifdef OTHER_DISPATCHES
	:: atomic { told[i] == T_NOTHING && inc != 1 -> execute(i); tell(i, T_RAN) }
#endif
#ifdef LEDGER_TOO
	:: atomic { told[i] == T_NOTHING && !in_ledger ->
		in_ledger = true;
		printf("step: attempt %d: reserved in the ledger\n", i);
		execute(i); tell(i, T_RAN) }
#endif
	fi
}

proctype home_dies()
{
	atomic { inc++; mem = M_NONE;
		printf("step: the home dies and comes back\n") }
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
		/* Its deadline ends every wait. */
		if
		:: told[i] != T_NOTHING
		:: atomic { told[i] == T_NOTHING -> tell(i, T_UNKNOWN) }
		fi;
		i++
	:: else -> break
	od
}
