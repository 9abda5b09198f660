/*
 * Orders to an engine that ignores fencing numbers.  The holder of a lease
 * sends an order with a deadline.  A holder that was paused and does not know
 * that its lease has expired may send late, and its order may be delivered
 * late.  The successor waits until the old lease and the deadlines of the old
 * orders are over, reads the engine's actual state and only then sends an
 * order.  Checked: once a successor has ordered, no order of an earlier holder
 * takes effect, and the engine never executes the same order from two holders.
 * All processes share one clock that counts ticks; this is valid as the
 * difference of clocks is limited.
 */

#define HOLDERS	  2
#define LEASE	  2		/* ticks until an unrenewed lease expires */
#define ORDER	  2		/* ticks until an order's own deadline */
#define END	  12

byte now;
byte holder = 255;
byte lease_until;
byte ordered_by = 255;		/* newest holder whose order took effect */
byte orders;			/* orders that took effect */

bool queued[HOLDERS];		/* an order is in the network */
byte order_until[HOLDERS];

proctype placer(byte i)
{
	byte until;

	/* Acquires the lease once the previous one has expired. */
	atomic {
		now >= lease_until && (i == 0 || holder == i - 1) && now < END ->
		holder = i;
		lease_until = now + LEASE;
		until = now + LEASE
	};
#ifndef NO_WAIT
	if			/* waits for the old orders' deadlines */
	:: i > 0 -> now >= until - LEASE + ORDER
	:: i == 0 -> skip
	fi;
	if
	:: i > 0 -> until = now + LEASE; lease_until = until	/* renewed */
	:: i == 0 -> skip
	fi;
#endif
	atomic {
		/* Checks the lease's stored deadline right before the send. */
#ifndef NO_LEASE_CHECK
		if
		:: now < until -> skip
		:: now >= until -> goto end
		fi;
#endif
		if
#ifndef NO_STATE_READ
		:: ordered_by != 255 -> goto end	/* already loaded */
#endif
		:: else -> queued[i] = true; order_until[i] = now + ORDER
		fi
	};
end:	skip
}

/* The network may deliver an order late or never. */
proctype engine()
{
	byte i;

	do
	:: atomic { i = 0; queued[0] -> goto deliver }
	:: atomic { queued[1] -> i = 1; goto deliver }
deliver:
		atomic {
			queued[i] = false;
			if
#ifndef NO_ORDER_DEADLINE
			:: now >= order_until[i] -> skip
#endif
			:: else ->
				assert(ordered_by == 255 || ordered_by <= i);
				orders++;
				assert(orders <= 1);
				ordered_by = i
			fi
		}
	od
}

proctype clock()
{
	do
	:: now < END -> now++
	:: now >= END -> break
	od
}

init
{
	atomic { run placer(0); run placer(1); run engine(); run clock() }
}
