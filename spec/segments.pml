/*
 * Segments of a shard (src/ldg_shard.c, src/ldg_call.c): a sealed segment gets
 * no more reservations, the seal is itself a swap, and an expired segment is
 * emptied and never deleted.  Two instances reserve one key, each starting from
 * a head or a cache of any age, while a third fills, seals and expires
 * segments.  At most one of them may dispatch.
 */

#define SEGMENTS 4
#define SEAL	 2		/* reservations that fill a segment */

mtype = { ABSENT, OPEN, SEALED };

mtype state[SEGMENTS] = ABSENT;
byte version[SEGMENTS];
byte fill[SEGMENTS];
bool has_key[SEGMENTS];		/* has the reservation of the key */
byte head;			/* the first live segment */
byte go;			/* instances that may dispatch */

/* One swap of segment n at version v; with_key: reserves the key in it. */
inline swap(n, v, with_key, done)
{
	atomic {
		if
		:: version[n] == v ->
			done = true;
			version[n]++;
			fill[n]++;
			has_key[n] = has_key[n] || with_key;
			if
			:: fill[n] >= SEAL -> state[n] = SEALED
			:: else -> state[n] = OPEN
			fi
		:: else -> done = false
		fi
	}
}

proctype reserver()
{
	byte n, v;
	mtype st = ABSENT;
	bool done, seen;

	n = head;		/* it may pause from here on */
read:	if
	:: n >= SEGMENTS -> goto end
	:: else -> skip
	fi;
	d_step {
		seen = seen || has_key[n];
		v = version[n];
		st = state[n]
	};
	if
	:: seen -> goto end
#ifdef NO_SEAL
	:: else -> skip
#else
	:: !seen && st == SEALED && n + 1 < SEGMENTS -> n++;
		goto read
	:: !seen && st == SEALED && n + 1 == SEGMENTS -> goto end
	:: !seen && st != SEALED -> skip
#endif
	fi;
	swap(n, v, true, done);
	if
	:: !done -> goto read
	:: else ->
		go++;
		assert(go <= 1)
	fi;
end:	skip
}

proctype writer()		/* writes other keys of the shard */
{
	byte n, v;
	bool done;

	do
	:: atomic { n < SEGMENTS && state[n] != SEALED -> v = version[n] };
		swap(n, v, false, done)
	:: n < SEGMENTS && state[n] == SEALED -> n++
	:: n >= SEGMENTS -> break
	od
}

/* Expires segments without the key's reservation, as if the window of their
 * records were over. */
proctype expirer()
{
	do
	:: head < SEGMENTS && state[head] == SEALED && !has_key[head] ->
		head++;
		atomic {
			version[head - 1]++;
#ifdef DELETE_EXPIRED
			state[head - 1] = ABSENT;
			version[head - 1] = 0;
			fill[head - 1] = 0
#endif
		}
	:: head < SEGMENTS && has_key[head] -> break
	:: head >= SEGMENTS -> break
	od
}

init
{
	atomic { run reserver(); run reserver(); run writer(); run expirer() }
}
