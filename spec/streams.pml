/*
 * Streams: a caller gets each position of its own answer once, in order, from
 * tokens that ran every layer once, and none that follows from a text other
 * than the one delivered; "done" is said of a whole answer only.
 *
 * Modelled: one stream of a node, whose tokens share their way with those of
 * another stream; it starts on a chain of two stages and may be moved to another chain (a new epoch) when a stage dies or is slow,
 * twice at most; chains that were given up go on producing; tokens arrive
 * late, out of order, repeatedly or never; a stage that skips or repeats its
 * layers; connections that close early.
 *
 * Not modelled: how a token crosses the stages, KV cache export and import
 * (a resumed chain starts from the text delivered, whichever way it got it).
 *
 * Safeguards, and where the code has them (route/stream):
 *   NO_EPOCH     a token of an epoch that was left is dropped; without it two
 *                texts are mixed.
 *   NO_POSITION  a token passes at the next position only; without it one is
 *                repeated or left out.
 *   NO_SPANS     a token passes only if its spans cover every layer once;
 *                without it a skipped layer goes into an answer.
 *   NO_STREAM    a token passes only on its own stream; without it a caller
 *                gets another caller's answer.
 *   CLOSE_IS_END a connection's end without the last token is a failure;
 *                without it "done" is said of half an answer.
 *   RESUME_BACK  a new epoch resumes after the last token delivered; without
 *                it the caller waits for ever or gets positions twice.
 * Reachable, or the model would prove nothing: REACH_DONE (an answer that was
 * moved twice is completed), REACH_LATE (a late token is dropped).
 *
 * variants: NO_EPOCH NO_POSITION NO_SPANS NO_STREAM CLOSE_IS_END RESUME_BACK REACH_DONE REACH_LATE
 */
#define STREAMS   2
#define OTHER     1	/* the stream of another caller */
#define EPOCHS    3
#define POSITIONS 3
#define WHOLE     3	/* spans: stages one and two, once each */

/* Index of a token among all that are under way. */
#define TOKEN(s, e, p) (((s) * EPOCHS + (e)) * POSITIONS + (p))
#define TOKENS (STREAMS * EPOCHS * POSITIONS)

bool sound[TOKENS];	/* produced with every layer */
bool faulty[TOKENS];	/* produced with a layer skipped or repeated */

/* The node's state, by stream. */
byte epoch[STREAMS];
byte next[STREAMS];
byte from[STREAMS * EPOCHS];	/* the position at which an epoch was started */
bool started[STREAMS * EPOCHS];
bool ended[STREAMS];

/* What the caller got, by stream and position: the epoch of the token. */
byte got[STREAMS * POSITIONS];
byte heard[STREAMS];

/* Chains go on as long as they like; nothing tells them surely to stop. A
   stage that dies looks as if its further tokens never arrived. */
proctype Chain(byte s; byte e) {
	byte p;
endUnused:
	started[s * EPOCHS + e] -> p = from[s * EPOCHS + e];
endChain:
	do
	:: p < POSITIONS -> atomic {
		if
		:: sound[TOKEN(s, e, p)] = true
		:: faulty[TOKEN(s, e, p)] = true
		fi;
		p++
	   }
	:: p >= POSITIONS -> break
	od
}

/* A token reaches the caller of stream s: judged by what the caller sees. */
inline pass(s, ts, te, tp, whole) {
	assert(ts == s);
	assert(whole);
	assert(heard[s] == tp);
	heard[s]++;
	/* it follows from the tokens that its chain produced before it, so the
	   one before it must be that chain's, unless the chain began here */
	assert(tp == from[ts * EPOCHS + te] || got[s * POSITIONS + tp - 1] == te);
	got[s * POSITIONS + tp] = te;
	next[s] = tp + 1
}

inline arrive(s, ts, te, tp, whole) {
	if
#ifndef NO_STREAM
	:: ts != s -> skip
#endif
#ifndef NO_EPOCH
	:: te != epoch[s] ->
#ifdef REACH_LATE
		assert(te > epoch[s]);
#endif
		skip
#endif
#ifndef NO_POSITION
	:: tp != next[s] -> skip
#endif
#ifndef NO_SPANS
	:: !whole -> skip
#endif
	:: else -> pass(s, ts, te, tp, whole)
	fi
}

proctype Node(byte s) {
	byte ts;
	byte te;
	byte tp;
	atomic {
		started[s * EPOCHS] = true;
		from[s * EPOCHS] = 0
	};
endNode:
	do
	:: atomic {		/* any token, any time, any number of times */
		next[s] < POSITIONS;
		select(ts : 0 .. STREAMS - 1);
		select(te : 0 .. EPOCHS - 1);
		select(tp : 0 .. POSITIONS - 1);
		if
		:: sound[TOKEN(ts, te, tp)] -> arrive(s, ts, te, tp, true)
		:: faulty[TOKEN(ts, te, tp)] -> arrive(s, ts, te, tp, false)
		:: !sound[TOKEN(ts, te, tp)] && !faulty[TOKEN(ts, te, tp)] -> skip
		fi;
		ts = 0; te = 0; tp = 0
	   }
	:: atomic {		/* dead, slow or faulty stage: another chain */
		next[s] < POSITIONS && epoch[s] < EPOCHS - 1 ->
		epoch[s] = epoch[s] + 1;
#ifdef RESUME_BACK
		from[s * EPOCHS + epoch[s]] = 0;
		next[s] = 0;
#else
		from[s * EPOCHS + epoch[s]] = next[s];
#endif
		started[s * EPOCHS + epoch[s]] = true
	   }
#ifdef CLOSE_IS_END
	:: break
#endif
	:: next[s] == POSITIONS -> break
	od;
	atomic {
		ended[s] = true;
		assert(heard[s] == POSITIONS);
#ifdef REACH_DONE
		assert(epoch[s] < EPOCHS - 1);
#endif
	}
}

init {
	byte e;
	atomic {
		for (e : 0 .. EPOCHS - 1) { run Chain(0, e) }
		started[OTHER * EPOCHS] = true;
		run Chain(OTHER, 0);
		run Node(0)
	}
}
