/*
 * Documents: an accepted promotion is applied at most once and reported
 * truly, and on no node is a record replaced by an older one, over two
 * operators, lost replies, store outages, late messages and restarts.
 *
 * Modelled: a store with compare-and-swap on the revision, whose writes may
 * lose their reply and take effect later or never, and which has outages; two
 * operators who promote at the same moment; three nodes, two of which may
 * watch the store; pushes that arrive late, often or never; a node that
 * restarts with empty memory and asks the store, else its peers. A text's parts
 * are one bit: all in the store, or not.
 *
 * Not modelled: bodies and digests, parts lost or damaged in the store, removal
 * of parts (prune.pml); who holds the watch; the time that
 * spreading takes. Two restarts at once while the store is down are left out:
 * see the limit in docs/decisions/fleet.md.
 *
 * Safeguards, and where the code has them:
 *   NO_CAS        the write is a compare-and-swap on the base revision
 *                 (state/promotion); without it the second operator
 *                 overwrites the first one's accepted document.
 *   NO_READBACK   after a lost reply the promotion id is looked up in the
 *                 history (state/promotion); without it the promotion is
 *                 applied twice.
 *   NEW_BASE      a promotion is tried again on its own base only; without it
 *                 it goes over a document that its operator never saw.
 *   INDEX_FIRST   a text's parts are in the store before the index that names
 *                 them is swapped (state/promotion promote, state/documentparts);
 *                 without it a node that reads the index finds no text, and a
 *                 starting one has nothing to serve.
 *   TAKE_LOWER    a node takes higher revisions only (fleet/docsync learned);
 *                 without it a late push reverts it.
 *   FIRST_ANSWER  a starting node without the store takes the highest of
 *                 several peers (fleet/docsync enoughAnswers); without it a
 *                 lagging peer reverts it to an older record than
 *                 the one that two nodes held.
 * Reachable, or the model would prove nothing: REACH_BOTH (one accepted, one
 * conflict), REACH_PEERS (a restart ended by peers).
 *
 * variants: NO_CAS NO_READBACK NEW_BASE INDEX_FIRST TAKE_LOWER FIRST_ANSWER REACH_BOTH REACH_PEERS
 */
#define NODES     3
#define OPERATORS 2
#define REVISIONS 4	/* the first one and what two operators can add */
#define TRIES     2

mtype = { OPEN, APPLIED, CONFLICT, LOST };

/* The store: the revision in force and who wrote each. */
byte revision = 1;
byte writer[REVISIONS + 1];
bool storeUp = true;
bool partsIn[OPERATORS + 1];	/* the parts of each one's text; 0: the first text */

/* A write without a reply, by operator. */
bool flying[OPERATORS + 1];
byte flyingBase[OPERATORS + 1];
mtype report[OPERATORS + 1];
byte applied[OPERATORS + 1];
byte saw[OPERATORS + 1];	/* the revision that the operator decided on */

/* Nodes. */
byte held[NODES];
byte served[NODES];	/* the highest that this node served since it started */
byte before[NODES];	/* and before its restart */
bool ready[NODES];
bool pushed[REVISIONS + 1];	/* messages with this record are under way */
byte settled = 1;	/* the highest revision that two nodes have held at once */
byte restarts;

inline write(op, base) {
	assert(base == saw[op]);
	assert(writer[base + 1] == 0);	/* an accepted document stays */
	revision = base + 1;
	writer[revision] = op;
	applied[op]++;
	assert(applied[op] <= 1);
	assert(report[op] != CONFLICT)
}

proctype Operator(byte id) {
	byte base;
	byte tries;
	bool found;
	byte i;
	atomic { storeUp -> base = revision; saw[id] = base };
#ifndef INDEX_FIRST
	/* Written, or read as they are; a lost reply is read back. */
	atomic { storeUp -> partsIn[id] = true };
#endif
swap:
	if
	:: tries == TRIES -> report[id] = LOST; goto end
	:: else -> tries++
	fi;
	if
	:: atomic { storeUp ->
#ifdef NO_CAS
		write(id, base);
		report[id] = APPLIED;
		goto end
#else
		if
		:: revision == base -> write(id, base); report[id] = APPLIED; goto end
		:: else -> goto back	/* it may be the own, late write that won */
		fi
#endif
	   }
	:: atomic { flying[id] = true; flyingBase[id] = base };	/* the reply is lost */
#ifdef NO_READBACK
	   atomic { storeUp -> base = revision; saw[id] = base };
	   goto swap
#endif
	fi;
back:	/* read back by promotion id */
	atomic { storeUp ->
		found = false;
		for (i : 1 .. REVISIONS) {
			if
			:: writer[i] == id -> found = true
			:: else -> skip
			fi
		}
		i = 0;
		if
		:: found -> report[id] = APPLIED; goto end
		:: !found && revision != base ->
#ifdef NEW_BASE
			base = revision; goto swap
#else
			report[id] = CONFLICT; goto end
#endif
		:: !found && revision == base -> goto swap
		fi
	};
end:
#ifdef INDEX_FIRST
	atomic { storeUp -> partsIn[id] = true };
#endif
	atomic {
		assert(report[id] != APPLIED || applied[id] == 1);
		assert(report[id] != CONFLICT || applied[id] == 0);
#ifdef REACH_BOTH
		assert(!(report[1] == APPLIED && report[2] == CONFLICT));
#endif
	}
}

#define LAND(op) \
	:: atomic { flying[op] -> \
		if \
		:: revision == flyingBase[op] -> write(op, flyingBase[op]) \
		:: else -> skip \
		fi; \
		flying[op] = false \
	   }

/* Lost writes take effect at any later time, or never; the store comes and goes. */
proctype Store() {
endStore:
	do
	LAND(1)
	LAND(2)
	:: atomic { storeUp -> storeUp = false }
	:: atomic { !storeUp -> storeUp = true }
	od
}

/* What two nodes hold at once counts as in force. */
inline settle() {
	for (j : 2 .. REVISIONS) {
		if
		:: (held[0] >= j) + (held[1] >= j) + (held[2] >= j) >= 2 && settled < j -> settled = j
		:: else -> skip
		fi
	}
	j = 0
}

inline serve() {
	if
	:: ready[n] ->
		assert(held[n] >= served[n]);
		served[n] = held[n]
	:: else -> skip
	fi
}

#ifdef TAKE_LOWER
#define WORTH(r) ((r) != held[n])
#else
#define WORTH(r) ((r) > held[n])
#endif

inline take(r) {
	if
	:: WORTH(r) ->
		held[n] = r;
		pushed[r] = true;
		settle();
		serve()
	:: else -> skip
	fi
}

/* The index in force and the parts that it names. */
inline readStore() {
	assert(partsIn[writer[revision]]);
	take(revision)
}

inline highestPeer(m) {
	m = 0;
	for (j : 0 .. NODES - 1) {
		if
		:: j != n && held[j] > m -> m = held[j]
		:: else -> skip
		fi
	}
	j = 0
}

/* A push arrives, however late. */
#define PUSH(r) :: atomic { pushed[r] && WORTH(r) -> take(r) }

proctype Node(byte n) {
	byte j;
	byte r;
endNode:
	do
	:: atomic { storeUp && n < 2 && ready[n] && held[n] != revision -> readStore() }	/* the watch */
	PUSH(1)
	PUSH(2)
	PUSH(3)
	PUSH(4)
	:: atomic {		/* the store answers a starting node */
		!ready[n] && storeUp ->
		ready[n] = true;
		readStore();
		serve();
		assert(held[n] >= before[n])
	   }
	:: atomic {		/* peers answer a starting node */
		!ready[n] && ready[(n + 1) % NODES] && ready[(n + 2) % NODES] ->
#ifdef FIRST_ANSWER
		if
		:: r = held[(n + 1) % NODES]
		:: r = held[(n + 2) % NODES]
		fi;
#else
		highestPeer(r);
#endif
		take(r);
		r = 0;
		ready[n] = true;
		serve();
		assert(held[n] >= settled);
#ifdef REACH_PEERS
		assert(storeUp || held[n] == 1);
#endif
	   }
	:: atomic {		/* the VM is replaced, one at a time */
		restarts < 2 && ready[0] && ready[1] && ready[2] ->
		restarts++;
		before[n] = served[n];
		ready[n] = false;
		held[n] = 0;
		served[n] = 0
	   }
	od
}

init {
	byte i;
	atomic {
		for (i : 0 .. NODES - 1) { held[i] = 1; served[i] = 1; ready[i] = true }
		for (i : 0 .. OPERATORS) { report[i] = OPEN }
		i = 0;
		partsIn[0] = true;
		pushed[1] = true;
		run Store();
		run Operator(1);
		run Operator(2);
		run Node(0);
		run Node(1);
		run Node(2)
	}
}
