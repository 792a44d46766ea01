/*
 * Removal of parts that nothing names: whatever a trial or promotion puts in its
 * place, its part is in the store then and after, while two operators prune.
 *
 * Modelled: one part, known by the revision at which it stands; one operator who
 * puts an index that names it in place, twice, and another index over it in
 * between, so that the part is named, free and named again; two prunes that may
 * pause or stop at any step and go on from the plan that they find. Every call
 * of the store is one step. A removal whose reply was lost takes effect at any
 * later time, or never.
 *
 * Not modelled: the history and its order (production is written there before it
 * is replaced, and read there last), several parts to a plan, pins that are a
 * day old.
 *
 * Safeguards, and where the code has them (state/promotion, pin.go and
 * prune.go):
 *   NO_PIN      the operator pins the part before looking (Promoter.pin);
 *               without it the prune looks before the index is in place.
 *   NO_LOOK     the operator reads the plan and writes a planned part again
 *               (Promoter.condemned, documentparts.Write); without it a prune that looked
 *               before the pin removes the part.
 *   LOOK_FIRST  the prune looks at pins and indexes after its plan is written
 *               (prune.carryOut); without it neither sees the other.
 *   PINS_LAST   the prune looks at pins before it looks at indexes
 *               (prune.named); without it an index passes from the one to the
 *               other behind its back.
 *   NO_COMPARE  a removal compares the planned revision (prune.remove).
 *   NO_TOUCH    a part that is kept is written again before the plan goes
 *               (prune.touch); without it a second prune that was paused
 *               removes it after the plan is gone.
 * Reachable, or the model would prove nothing: REACH_REMOVED (the part was
 * removed and written again), REACH_TOUCHED.
 *
 * variants: NO_PIN NO_LOOK LOOK_FIRST PINS_LAST NO_COMPARE NO_TOUCH REACH_REMOVED REACH_TOUCHED
 */
#define PRUNES 2
#define LAST   5	/* revisions of the part */

byte part = 1;		/* the revision at which it stands; 0: removed */
byte last = 1;
bool named;		/* an index in place names it */
bool pinned;
byte plan;		/* the revision at which the part is to be removed; 0: no plan */

bool flying[PRUNES];
byte flyingRevision[PRUNES];

inline rewrite() {
	last++;
	part = last
}

#ifdef NO_COMPARE
#define STANDS(r) (part != 0)
#else
#define STANDS(r) (part == (r))
#endif

proctype Operator() {
	byte round;
	byte seen;
	do
	:: round == 2 -> break
	:: else ->
		round++;
#ifndef NO_PIN
		pinned = true;
#endif
		seen = 0;
#ifndef NO_LOOK
		seen = plan;
#endif
endBound:	/* The part is read, and written if it is gone or planned. */
		if
		:: atomic { part == 0 && last < LAST -> rewrite();
#ifdef REACH_REMOVED
			assert(false)
#endif
		   }
		:: atomic { part != 0 && part == seen && last < LAST -> rewrite() }
		:: atomic { part != 0 && part != seen -> skip }
		fi;
		atomic { named = true; assert(part != 0) };
		pinned = false;
		if
		:: round == 1 -> named = false	/* another text is put over it */
		:: else -> skip
		fi
	od
}

proctype Prune(byte id) {
	byte listed;
	byte mine;
	bool keep;
endPrune:
	do
	:: atomic { plan == 0 && part != 0 && !named -> listed = part };
#ifdef LOOK_FIRST
	   atomic { keep = pinned || named };
#endif
endPlan:   if
	   :: atomic { plan == 0 -> plan = listed }
	   :: atomic { plan != 0 -> skip }
	   fi
	:: atomic { plan != 0 -> mine = plan };	/* one's own or one that was left */
#ifndef LOOK_FIRST
#ifdef PINS_LAST
	   keep = named;
	   keep = keep || pinned;
#else
	   keep = pinned;
	   keep = keep || named;
#endif
#endif
	   if
	   :: keep ->
#ifndef NO_TOUCH
endTouch:	if
		:: atomic { part == mine && last < LAST -> rewrite();
#ifdef REACH_TOUCHED
			assert(false)
#endif
		   }
		:: atomic { part != mine -> skip }
		fi
#else
		skip
#endif
	   :: !keep ->
		if
		:: atomic { STANDS(mine) -> part = 0; assert(!named) }
		:: atomic { !STANDS(mine) -> skip }
		:: atomic { !flying[id] -> flying[id] = true; flyingRevision[id] = mine };
		   /* The reply is lost: it is sent again until one is heard. */
		   atomic {
			if
			:: STANDS(mine) -> part = 0; assert(!named)
			:: else -> skip
			fi
		   }
		fi
	   fi;
	   atomic {
		if
		:: plan == mine -> plan = 0
		:: else -> skip
		fi;
		mine = 0;
		listed = 0;
		keep = false
	   }
	od
}

#define LAND(i) \
	:: atomic { flying[i] -> \
		if \
		:: STANDS(flyingRevision[i]) -> part = 0; assert(!named) \
		:: else -> skip \
		fi; \
		flying[i] = false \
	   }

proctype Network() {
endNetwork:
	do
	LAND(0)
	LAND(1)
	od
}

init {
	atomic {
		run Network();
		run Operator();
		run Prune(0);
		run Prune(1)
	}
}
