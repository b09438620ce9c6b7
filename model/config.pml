/*
 * Configuration in force: a store whose head row numbers the accepted changes,
 * two operators' writes, and two routers that start empty, read the head, fetch
 * the configuration from the store or from each other, and publish it.
 *
 * The revision stands for a configuration, a count per write attempt for log rows.
 * Bounds: MAXREV revisions, one write by each of two operators with up to TRIES
 * tries, CRASHES empty restarts of routers, STALE stale reads, LOST lost answers.
 * NO_RETRIES replaces the operators by writes without faults, and NO_ROUTERS
 * omits the routers, so that the rest can be explored with larger bounds.
 *
 * Invariants (assertions):
 *   - a router's published revision never decreases, also across a crash;
 *   - a router publishes at most the store's head, so the revision was accepted;
 *   - a write reported as accepted is in the store;
 *   - a write reported as refused is not in the store;
 *   - no attempt is in the store twice.
 *
 * Simplified: time is omitted (a timeout is a nondeterministic choice), and a
 * router's fetch is answered from the source's state at any later time.
 */
// run: configuration-in-force expect=holds
// run: routers-alone expect=holds -DNO_RETRIES -DCRASHES=3 -DSTALE=3
// run: writers-alone expect=holds -DNO_ROUTERS -DLOST=4 -DTRIES=4
// run: no-monotonic-check expect=fails -DBROKEN_NO_MONOTONIC_CHECK
// run: empty-start-from-any-peer expect=fails -DBROKEN_START_FROM_PEER
// run: empty-start-from-stale-head expect=fails -DBROKEN_UNCONFIRMED_HEAD
// run: blind-retry expect=fails -DBROKEN_BLIND_RETRY
// run: refuse-on-lost-answer expect=fails -DBROKEN_REFUSE_ON_LOST
// run: refuse-on-absent-attempt expect=fails -DBROKEN_REFUSE_ON_ABSENT

#ifndef CRASHES
#define CRASHES 2
#endif
#ifndef STALE
#define STALE 1
#endif
#ifndef LOST
#define LOST 1
#endif
#ifndef TRIES
#define TRIES 2
#endif
#define MAXREV 4
#define NONE 255

/* The store. timesLogged counts the log rows of each attempt. */
byte head = 0;
byte timesLogged[2];

/* Attempts reported as not written. Checked at each commit. */
bool refused[2];

/* Commits in flight after their answer was lost: the head that they check. */
byte delayed[2] = NONE;

/*
 * Routers. held is the latest revision received, floor the confirmed head.
 * highest survives a crash: it is the highest revision ever published.
 */
byte published[2];
byte highest[2];
byte held[2];
byte floor[2] = NONE;
byte crashes = 0;
byte stale = 0;
byte lost = 0;

inline commit(attempt, checked, done) {
	if
	:: head == checked && head < MAXREV ->
		head++;
		timesLogged[attempt]++;
		assert(timesLogged[attempt] <= 1);
		assert(!refused[attempt]);
		done = true
	:: else -> done = false
	fi
}

/* The network delivers a commit whose answer was lost at any later time. */
active proctype Network() {
	bool done;
end:
	do
	:: atomic { delayed[0] != NONE -> commit(0, delayed[0], done); delayed[0] = NONE; done = false }
	:: atomic { delayed[1] != NONE -> commit(1, delayed[1], done); delayed[1] = NONE; done = false }
	od
}

proctype Operator(byte me) {
	byte checked = 0;
	byte tries = 0;
	bool done = false;
	bool wasWritten = false;
	bool mayHaveRun = false;
	do
	:: atomic { tries == TRIES ->
		/* Gives up: "unknown" if an answer was lost, otherwise "not written". */
		assert(mayHaveRun || timesLogged[me] == 0);
		break
	}
	/* One consistent read of the head and the attempt row. */
	:: atomic { tries < TRIES ->
		tries++;
		checked = head;
		wasWritten = (timesLogged[me] > 0);
#ifdef BROKEN_BLIND_RETRY
		wasWritten = false
#endif
	};
	if
	:: atomic { wasWritten -> assert(timesLogged[me] == 1); break }
#ifdef BROKEN_REFUSE_ON_ABSENT
	/* Reports "not written" because the attempt row is absent. */
	:: atomic { !wasWritten && mayHaveRun -> refused[me] = true; break }
#endif
	/* The commit is answered: written, or another writer committed first. */
	:: atomic { !wasWritten ->
		commit(me, checked, done);
		if
		:: done -> break
		:: else -> skip
		fi
	}
	/* The commit takes effect or conflicts, and its answer is lost. */
	:: atomic { !wasWritten && lost < LOST ->
		lost++;
		mayHaveRun = true;
		commit(me, checked, done);
		done = false;
#ifdef BROKEN_REFUSE_ON_LOST
		refused[me] = true;
		assert(timesLogged[me] == 0);
		break
#endif
	}
	/* The commit stays in flight, and its answer is lost. */
	:: atomic { !wasWritten && lost < LOST && delayed[me] == NONE ->
		lost++;
		mayHaveRun = true;
		delayed[me] = checked
	}
	fi;
	atomic { checked = 0; wasWritten = false }
	od
}

/* A write without faults. */
proctype PlainWrite(byte me) {
	bool done;
	atomic { commit(me, head, done) }
}

proctype Router(byte me) {
	byte got = 0;
	bool isFetched = false;
end:
	do
	/* Crash and empty restart; messages in flight to the router are lost. */
	:: atomic { crashes < CRASHES ->
		crashes++;
		held[me] = 0;
		floor[me] = NONE;
		published[me] = 0;
		got = 0;
		isFetched = false
	}
	/* Read the head into got, plus one as zero means none. */
	:: atomic { floor[me] == NONE && !isFetched && got == 0 ->
		got = head + 1;
		if
		:: stale < STALE && head > 0 -> stale++; got = head
		:: skip
		fi
	}
	/* Until the router is ready, a check-only transaction confirms the head. */
	:: atomic { floor[me] == NONE && !isFetched && got > 0 ->
#ifndef BROKEN_UNCONFIRMED_HEAD
		if
		:: got == head + 1 -> floor[me] = got - 1
		:: else -> skip
		fi;
#else
		floor[me] = got - 1;
#endif
		got = 0
	}
	/* Fetch from the store, possibly with a stale read. */
	:: atomic { got == 0 && !isFetched ->
		isFetched = true;
		got = head;
		if
		:: stale < STALE && head > 0 -> stale++; got = head - 1
		:: skip
		fi
	}
	/* Fetch from the peer. */
	:: atomic { got == 0 && !isFetched ->
		isFetched = true;
		got = published[1 - me];
#ifdef BROKEN_START_FROM_PEER
		if
		:: floor[me] == NONE && got > 0 -> floor[me] = 0
		:: else -> skip
		fi
#endif
	}
	/* Apply the fetched revision unless it is older than the one held. */
	:: atomic { isFetched ->
		if
		:: got > held[me] -> held[me] = got
#ifdef BROKEN_NO_MONOTONIC_CHECK
		:: got < held[me] -> held[me] = got
#endif
		:: else -> skip
		fi;
		isFetched = false;
		got = 0
	}
	/* Publish the held revision once it reaches the confirmed head. */
	:: atomic { floor[me] != NONE && held[me] >= floor[me] && held[me] != published[me] ->
		published[me] = held[me];
		assert(published[me] >= highest[me]);
		assert(published[me] <= head);
		highest[me] = published[me]
	}
	od
}

init {
	atomic {
#ifdef NO_RETRIES
		run PlainWrite(0);
		run PlainWrite(1);
#else
		run Operator(0);
		run Operator(1);
#endif
#ifndef NO_ROUTERS
		run Router(0);
		run Router(1)
#endif
	}
}
