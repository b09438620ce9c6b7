/*
 * Freshness of secrets: a router accepts the secrets of the version in force for
 * LIFE after that version was last confirmed as the newest. Both routers call the
 * store; router 1 also uses the confirmations of router 0: it sends messages stamped
 * with its own clock, and router 0 echoes a stamp with the time from its arrival to
 * the start of the call that confirmed router 0's version (core/process/freshness).
 *
 * Time may advance at any step, up to HORIZON. Answers, stamps and echoes take any
 * time, the answer of a call may be lost, and a router may stall for any time,
 * which covers suspend. A router's clock keeps running during suspend; with
 * BROKEN_STEADY_CLOCK it may stop while the router stalls.
 *
 * Invariant (assertion): no router accepts the old version later than LIFE after
 * the store accepted the new one.
 *
 * Simplified: one version change; one call, stamp and echo in flight at a time;
 * all clocks run at the same rate.
 */
// run: freshness expect=holds
// run: age-from-the-answer expect=fails -DBROKEN_AGE_FROM_ANSWER
// run: steady-clock expect=fails -DBROKEN_STEADY_CLOCK
// run: echo-tells-an-age expect=fails -DBROKEN_ECHO_AGE
// run: echo-of-another-version expect=fails -DBROKEN_ECHO_VERSION

#ifndef HORIZON
#define HORIZON 3
#endif
#define LIFE 1
#define ROUTERS 2

#define IDLE 0
#define UNDER_WAY 1
#define ARRIVED 2

/* Real time, and the time during which each router's clock stood still. */
byte now = 0;
#ifdef BROKEN_STEADY_CLOCK
byte missed[ROUTERS];
#endif

/* The store. */
byte newest = 1;
byte acceptedAt = 0;

/* The version in force at each router, and when it was last confirmed. */
byte inForce[ROUTERS];
short confirmedAt[ROUTERS];
bool isConfirmed[ROUTERS];

/* Each router's call to the store: UNDER_WAY until the store has read. */
byte call[ROUTERS];
byte calledAt[ROUTERS];
byte answer[ROUTERS];

/*
 * The stamp in flight from router 1 to router 0, and the echo in flight back.
 * echoed is a confirmation time by router 1's clock (BROKEN_ECHO_AGE: an age).
 */
byte stamp = IDLE;
byte stampedAt, stampArrivedAt;
byte echo = IDLE;
short echoed;
byte echoVersion;

#ifdef BROKEN_STEADY_CLOCK
#define CLOCK(r) (now - missed[r])
#else
#define CLOCK(r) now
#endif

inline confirm(r, at) {
	if
	:: !isConfirmed[r] || at > confirmedAt[r] -> confirmedAt[r] = at; isConfirmed[r] = true
	:: else
	fi
}

active proctype time() {
	do
	:: atomic { now < HORIZON ->
		now++;
#ifdef BROKEN_STEADY_CLOCK
		if :: missed[0]++ :: skip fi;
		if :: missed[1]++ :: skip fi
#endif
	   }
	od
}

active proctype store() {
	do
	:: atomic { newest == 1 && inForce[0] == 1 -> newest = 2; acceptedAt = now }
	:: atomic { call[0] == UNDER_WAY -> answer[0] = newest; call[0] = ARRIVED }
	:: atomic { call[1] == UNDER_WAY -> answer[1] = newest; call[1] = ARRIVED }
	:: atomic { call[0] != IDLE -> call[0] = IDLE }
	:: atomic { call[1] != IDLE -> call[1] = IDLE }
	od
}

active [ROUTERS] proctype router() {
	byte me = _pid - 2;
	do
	:: atomic { call[me] == IDLE -> call[me] = UNDER_WAY; calledAt[me] = CLOCK(me) }
	:: atomic { call[me] == ARRIVED ->
		call[me] = IDLE;
		inForce[me] = answer[me];
#ifdef BROKEN_AGE_FROM_ANSWER
		confirm(me, CLOCK(me))
#else
		confirm(me, calledAt[me])
#endif
	   }
	:: atomic { me == 1 && stamp != UNDER_WAY -> stamp = UNDER_WAY; stampedAt = CLOCK(1) }
	:: atomic { me == 0 && stamp == UNDER_WAY -> stamp = ARRIVED; stampArrivedAt = CLOCK(0) }
	:: atomic { me == 0 && stamp == ARRIVED && isConfirmed[0] && echo == IDLE ->
		echo = UNDER_WAY;
		echoVersion = inForce[0];
#ifdef BROKEN_ECHO_AGE
		echoed = CLOCK(0) - confirmedAt[0]
#else
		echoed = stampedAt + confirmedAt[0] - stampArrivedAt
#endif
	   }
	:: atomic { me == 1 && echo == UNDER_WAY ->
		echo = IDLE;
#ifdef BROKEN_ECHO_AGE
		echoed = CLOCK(1) - echoed;
#endif
		if
#ifndef BROKEN_ECHO_VERSION
		:: echoVersion <= inForce[1] -> confirm(1, echoed)
#else
		:: inForce[1] > 0 -> confirm(1, echoed)
#endif
		:: else
		fi;
		echoed = 0
	   }
	:: atomic { inForce[me] == 1 && isConfirmed[me] && CLOCK(me) - confirmedAt[me] <= LIFE ->
		assert(newest == 1 || now <= acceptedAt + LIFE)
	   }
	od
}
