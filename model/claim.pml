// The claim protocol of core/request/claim for one key and one endpoint.
//
// Attempts run on different routers. There are no clocks: any process may be
// arbitrarily slow, which covers a pause of any length, and may never be
// scheduled again, which covers a crash. Whether a holder is considered live, and
// whether it is too late to send, is nondeterministic. The table service may
// refuse a write, lose it, delay it, or lose its answer. The request may be
// lost, run late, or its answer may be lost.
//
// run: checks-fencing expect=holds -DFENCED=1 -DATTEMPTS=2
// run: ignores-fencing expect=holds -DFENCED=0 -DATTEMPTS=2
// run: ignores-fencing-3 expect=holds -DFENCED=0 -DATTEMPTS=3 -DFEWER_TRIES
// run: claim-after-send expect=fails -DFENCED=1 -DATTEMPTS=2 -DBROKEN_CLAIM_AFTER_SEND
// run: blind-retry expect=fails -DFENCED=0 -DATTEMPTS=2 -DBROKEN_BLIND_RETRY
// run: not-run-by-other expect=fails -DFENCED=0 -DATTEMPTS=2 -DBROKEN_NOT_RUN_BY_OTHER

#ifdef FEWER_TRIES
#define MAX_TRIES 1
#else
#define MAX_TRIES 2
#endif
#define MAX_ROUNDS 2
#define SLOTS 4

// States of the claim row.
#define NONE 0
#define CLAIMED 1
#define FENCING 2
#define COMPLETED 3
#define NOT_RUN 4
#define UNKNOWN 5

// Answers of the table service, followed by results of put.
#define OK 0
#define CONFLICT 1
#define REFUSED 2
#define LOST 3
#define WRITTEN 4
#define UNWRITTEN 5
#define OVERTAKEN 6

// Answers of the endpoint.
#define SILENT 0
#define ANSWERED 1
#define DECLINED 2

// The claim row; number is the fencing number.
byte state, version, writer, number;

// One delayed write per attempt; delayedState NONE marks an empty slot.
byte delayedState[SLOTS], delayedVersion[SLOTS], delayedNumber[SLOTS];

// The endpoint, which declines numbers below fence and ran none above accepted, and
// one request in flight per attempt, given by its number.
byte fence, accepted, runs;
byte inFlight[SLOTS], replied[SLOTS];
bool ranFor[SLOTS];

// The outcomes reported to callers.
bool toldNotRun;
bool refusedCall[SLOTS];

inline apply(newState, newWriter, newNumber) {
	state = newState;
	writer = newWriter;
	number = newNumber;
	version++
}

inline commit(newState, newNumber) {
	if
	:: result = REFUSED
	:: atomic { true ->
		if
		:: version == expected -> apply(newState, id, newNumber); expected = version; result = OK
		:: else -> result = CONFLICT
		fi
	}
	:: atomic { true ->
		if
		:: version == expected -> apply(newState, id, newNumber)
		:: else
		fi;
		result = LOST
	}
	:: atomic {
		delayedState[id] == NONE ->
		delayedState[id] = newState;
		delayedVersion[id] = expected;
		delayedNumber[id] = newNumber;
		result = LOST
	}
	fi
}

inline readRow() {
	if
	:: readOK = false
	:: atomic { true ->
		readOK = true;
		readState = state; readVersion = version; readWriter = writer; readNumber = number
	}
	fi
}

// put retries a write until its outcome is known, or gives up.
inline put(newState, newNumber) {
	tries = 0;
	do
	:: commit(newState, newNumber);
		if
		:: result == OK -> result = WRITTEN; break
		:: result == REFUSED -> result = UNWRITTEN; break
		:: else -> readRow();
			if
			:: !readOK -> result = UNWRITTEN; break
			:: readOK && readState == newState && readWriter == id && readNumber == newNumber ->
				expected = readVersion; result = WRITTEN; break
			:: readOK && readVersion == expected && tries + 1 < MAX_TRIES -> tries++
			:: readOK && readVersion == expected && tries + 1 >= MAX_TRIES -> result = UNWRITTEN; break
			:: else -> 
#ifdef BROKEN_BLIND_RETRY
				if
				:: newState == CLAIMED && readVersion != expected -> expected = readVersion
				:: else -> result = OVERTAKEN; break
				fi
#else
				result = OVERTAKEN; break
#endif
			fi
		fi
	od
}

inline tellNotRun() {
	atomic { assert(runs == 0); toldNotRun = true }
}

// refuse reports that this call sent no request. A repeated call reports unknown
// instead, so only the first attempt is checked here.
inline refuse() {
	atomic {
		if
		:: id == 0 -> assert(!ranFor[id]); refusedCall[id] = true
		:: else
		fi
	}
}

proctype Attempt(byte id) {
	// mine and raised are the fencing numbers to hold and to recover a claim.
	byte expected, result, tries, rounds, mine, raised;
	bool readOK, hasSent;
	byte readState, readVersion, readWriter, readNumber;
	mine = 1;

#ifdef BROKEN_CLAIM_AFTER_SEND
	inFlight[id] = mine;
	hasSent = true;
#endif

	put(CLAIMED, mine);
	if
	:: result == WRITTEN -> goto claimed
	:: result == OVERTAKEN -> goto meet
	:: result == UNWRITTEN -> refuse(); goto orphan
	fi;

orphan:
	// The caller was answered; a claim that is written later is released.
	if
	:: goto finish
	:: readRow();
		if
		:: readOK && readState == CLAIMED && readWriter == id -> expected = readVersion; goto release
		:: else -> goto finish
		fi
	fi;

claimed:
#ifdef BROKEN_CLAIM_AFTER_SEND
	goto wait;
#endif
	if
	:: goto release          // late, endpoint unreachable, or deadline exceeded
	:: atomic { inFlight[id] = mine; hasSent = true }
	fi;

wait:
	if
	:: replied[id] == ANSWERED -> goto record
	:: replied[id] == DECLINED -> goto release
	:: raised = mine; goto recover   // no complete answer received
	fi;

record:
	put(COMPLETED, mine);
	assert(runs == 1);
	if
	:: result == OVERTAKEN && rounds < MAX_ROUNDS && (readState == FENCING || readState == UNKNOWN) ->
		rounds++; expected = readVersion; mine = readNumber; goto record
	:: else -> goto finish
	fi;

release:
	// Only the holder sends the request; it has not sent it and will not.
	tellNotRun();
	put(NOT_RUN, mine);
	if
	:: result == OVERTAKEN && rounds < MAX_ROUNDS && (readState == FENCING || readState == UNKNOWN) ->
		rounds++; expected = readVersion; mine = readNumber; goto release
	:: else -> goto finish
	fi;

meet:
	// Another attempt wrote the row.
	rounds++;
	if
	:: readState == COMPLETED -> assert(runs == 1); goto finish
	:: readState == NOT_RUN -> tellNotRun(); goto finish
	:: readState == UNKNOWN || rounds > MAX_ROUNDS -> goto finish
	:: readState == CLAIMED -> goto finish   // the holder is considered live
	:: (readState == CLAIMED || readState == FENCING) && rounds <= MAX_ROUNDS ->
		expected = readVersion; raised = readNumber; goto recover
	fi;

recover:
	// Settles a claim without a complete answer, as not run only if that is proven.
#ifdef BROKEN_NOT_RUN_BY_OTHER
	if
	:: !hasSent -> put(NOT_RUN, raised); tellNotRun(); goto finish
	:: else
	fi;
#endif
	if
	:: !FENCED -> put(UNKNOWN, raised);
		if
		:: result == OVERTAKEN -> goto meet
		:: else -> goto finish
		fi
	:: FENCED -> raised++; put(FENCING, raised)
	fi;
	if
	:: result == OVERTAKEN -> goto meet
	:: result == UNWRITTEN -> goto finish
	:: result == WRITTEN
	fi;
	// The fencing call, whose answer may be lost.
	if
	:: goto finish
	:: atomic { raised >= fence -> fence = raised; readNumber = accepted }
	:: atomic { raised >= fence -> fence = raised; goto finish }
	fi;
	if
	:: readNumber == 0 -> tellNotRun(); put(NOT_RUN, raised)
	:: else -> put(UNKNOWN, raised)
	fi;
	if
	:: result == OVERTAKEN -> goto meet
	:: else
	fi;

finish:
	skip
}

// World applies delayed writes and delivers requests at any time.
proctype World() {
	byte i;
end:
	do
	:: atomic { true ->
		i = 0;
		do
		:: i < ATTEMPTS - 1 -> i++
		:: break
		od;
		if
		:: delayedState[i] != NONE ->
			if
			:: version == delayedVersion[i] -> apply(delayedState[i], i, delayedNumber[i])
			:: else
			fi;
			delayedState[i] = NONE; delayedVersion[i] = 0; delayedNumber[i] = 0
		:: inFlight[i] != 0 && FENCED && inFlight[i] < fence ->
			inFlight[i] = 0; replied[i] = DECLINED
		:: inFlight[i] != 0 && !(FENCED && inFlight[i] < fence) ->
			runs++;
			ranFor[i] = true;
			if
			:: accepted < inFlight[i] -> accepted = inFlight[i]
			:: else
			fi;
			assert(runs == 1);
			assert(!toldNotRun);
			assert(!refusedCall[i]);
			inFlight[i] = 0; replied[i] = ANSWERED
		:: else
		fi;
		i = 0
	}
	od
}

init {
	byte i;
	atomic {
		do
		:: i < ATTEMPTS -> run Attempt(i); i++
		:: else -> break
		od;
		run World()
	}
}
