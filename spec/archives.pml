/*
 * Archives of order claims: a done order is found, and so not placed again,
 * wherever it stands, while nodes move it out of its shard into an archive, take
 * that archive up into a newer one and remove what nothing names any more.
 *
 * Modelled: one order; the shard as the order's claim in it and the name of one
 * archive, under one revision; archives named by the revision that they were
 * made from, each with or without the order; two nodes that each claim, place
 * and record the order, and move it, at any interleaving, with views of the
 * shard that are old; writes of the shard whose reply is lost, and that take
 * effect at any later time or never; archives written by a node that then stops.
 * What the shard names always exists: a claim that finds it missing is refused.
 *
 * Not modelled: retention, other orders and the batch (one revision covers
 * them), more than one archive to a shard (a claim reads each), losses of
 * claims' replies (claims.pml).
 *
 * Safeguards, and where the code has them (state/ledger):
 *   NO_LOOK       a claim looks into the archive that the shard names
 *                 (machine.archiveStep, archived); without it an order that was
 *                 moved is placed again.
 *   SHARD_FIRST   the archive is in the store before the shard's write takes the
 *                 order out and names it (machine.archiveStep); without it a
 *                 claim finds the order nowhere.
 *   NO_CAS        the shard's write compares the revision that it was worked out
 *                 from; without it an old view brings back a list of archives
 *                 that lacks the order.
 *   ANY_GARBAGE   an archive is removed only if the shard has moved past the
 *                 revisions at which it could be named (machine.sweep); without
 *                 it one is removed that a write underway then names.
 *   RENAMED       archives' names are revisions and never used twice
 *                 (machine.archiveStep); without it a paused node overwrites an
 *                 archive that is named by then.
 * Reachable, or the model would prove nothing: REACH_MOVED (a claim finds the
 * order in an archive), REACH_TWICE (it was taken up into a second archive).
 *
 * variants: NO_LOOK SHARD_FIRST NO_CAS ANY_GARBAGE RENAMED REACH_MOVED REACH_TWICE
 */
#define NODES 2
#define LAST  6		/* the last revision; also the number of archives */

mtype = { FREE, CLAIMED, DONE };

/* The shard. */
byte revision = 1;
mtype order = FREE;
byte named;		/* the archive that the shard names; 0: none */

/* The archives, by name. */
bool exists[LAST + 1];
bool holds[LAST + 1];

/* A write of the shard without a reply, by node. */
bool flying[NODES + 1];
byte flyingRevision[NODES + 1];
mtype flyingOrder[NODES + 1];
byte flyingNamed[NODES + 1];

byte placed;

#ifdef NO_CAS
#define MATCHES(r) (revision < LAST)
#else
#define MATCHES(r) (revision == (r) && revision < LAST)
#endif

inline swap(o, n) {
	revision++;
	order = o;
	named = n;
}

#ifdef RENAMED
#define NAME(r) 1
#else
#define NAME(r) (r)
#endif

proctype Node(byte id) {
	byte seen;		/* the shard as read */
	mtype held;
	byte list;
	bool found;
	bool mine;
	byte next;		/* an archive written here and not named yet */
endNode:
	do
	:: atomic { revision < LAST ->	/* read the shard */
		seen = revision; held = order; list = named; found = false;
		assert(named == 0 || exists[named])
	   }
	:: seen != 0 && held == FREE && !mine -> goto claim
	:: atomic { mine && held == CLAIMED && MATCHES(seen) ->	/* place and record */
		placed++;
		assert(placed <= 1);
		mine = false;
		swap(DONE, list);
		seen = 0
	   }
	:: seen != 0 && next == 0 -> goto move
#ifdef ANY_GARBAGE
	:: atomic { next != 0 && named != next -> exists[next] = false; holds[next] = false; next = 0 }
#else
	:: atomic { next != 0 && seen > next ->	/* it is named as of this reading, or never */
		if
		:: list != next -> exists[next] = false; holds[next] = false
		:: else -> skip
		fi;
		next = 0
	   }
#endif
	od;

claim:
#ifndef NO_LOOK
	if
	:: list == 0 -> skip
	:: atomic { list != 0 && exists[list] -> found = holds[list] }
	:: atomic { list != 0 && !exists[list] -> seen = 0; goto endNode }	/* read anew */
	fi;
#ifdef REACH_MOVED
	assert(!found);
#endif
#endif
	if
	:: found -> seen = 0; goto endNode
	:: else -> skip
	fi;
	atomic {
		if
		:: MATCHES(seen) -> swap(CLAIMED, list); mine = true
		:: else -> skip
		fi;
		seen = 0
	};
	goto endNode;

/* What is done goes into a new archive, and what the last one holds with it. */
move:
	if
	:: list == 0 -> found = false
	:: atomic { list != 0 && exists[list] -> found = holds[list] }
	:: atomic { list != 0 && !exists[list] -> seen = 0; goto endNode }
	fi;
#ifdef REACH_TWICE
	assert(!found);
#endif
	next = NAME(seen);
#ifndef SHARD_FIRST
	atomic {
#ifndef RENAMED
		assert(!exists[next] || holds[next] == (found || held == DONE));
#endif
		exists[next] = true;
		holds[next] = found || held == DONE
	};
#endif
	if
	:: atomic { MATCHES(seen) ->
		swap((held == DONE -> FREE : held), next);
		if
		:: list != 0 && list != next -> exists[list] = false; holds[list] = false
		:: else -> skip
		fi;
#ifndef SHARD_FIRST
		next = 0;
#endif
		seen = 0
	   }
	:: atomic { !MATCHES(seen) -> seen = 0 }	/* the archive may be garbage */
	:: atomic { !flying[id] ->	/* the reply is lost */
		flying[id] = true;
		flyingRevision[id] = seen;
		flyingOrder[id] = (held == DONE -> FREE : held);
		flyingNamed[id] = next;
		seen = 0
	   }
	:: goto stopped
	fi;
#ifdef SHARD_FIRST
	atomic { exists[next] = true; holds[next] = found || held == DONE; next = 0 };
#endif
	goto endNode;
stopped:
	skip
}

#define LAND(i) \
	:: atomic { flying[i] -> \
		if \
		:: MATCHES(flyingRevision[i]) -> swap(flyingOrder[i], flyingNamed[i]) \
		:: else -> skip \
		fi; \
		flying[i] = false \
	   }

proctype Network() {
endNetwork:
	do
	LAND(1)
	LAND(2)
	od
}

init {
	atomic {
		run Network();
		run Node(1);
		run Node(2)
	}
}
