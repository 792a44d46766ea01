/*
 * Keys that are taken away, on nodes that read the store late, stand still, are
 * suspended, or only hear from another node what it has read: the model of
 * decide/freshness, fleet/reads and the checks before a send (route/ingress,
 * route/relay). Node 0 reads the store; node 1 reads it or asks node 0. Any step
 * may come at any later time. A node serves the key while it knows of nothing
 * else and its proof is younger than LIMIT; REVOKE after the operator took it
 * away none may. Once seen, the newer configuration is never left for the older.
 *
 * Not modelled: the time between the check before a send and the send itself,
 * which the difference of LIMIT and REVOKE has to cover; nodes whose clocks run
 * at different rates; more than one change.
 *
 * Safeguards:
 *   PROOF_AT_END    a proof counts from the beginning of its read (site.readStore);
 *                   counted from its end, a late answer looks young.
 *   AGE_FORGOTTEN   what another node tells bears the age of its read (reads.Since).
 *   AGE_FROM_ANSWER the asker counts that age from the moment before it asked
 *                   (reads.Ask); from the arrival, the way back makes it younger.
 *   CLOCK_STOPS     the clock goes on while a node is suspended (site.sinceBoot).
 *   NO_RECHECK      the proof is looked at again when a request is sent
 *                   (relay.send), not only when it came in.
 *   NO_FLOOR        nothing older than what is known is taken from another node.
 * Reachable, or the model would prove nothing: REACH_LATE (the key is served after
 * it was taken away, within the bound) and REACH_BY_PEER (node 1 serves on what
 * node 0 has read).
 *
 * variants: PROOF_AT_END AGE_FORGOTTEN AGE_FROM_ANSWER CLOCK_STOPS NO_RECHECK NO_FLOOR REACH_LATE REACH_BY_PEER
 */
#define END 7
#define REVOKE 3
#define LIMIT 2
#define NEVER 99

byte now = 0;
byte removed = NEVER; /* when the operator took the key away */
byte lost[2];         /* time for which a node was suspended */
bit known[2];
bit gone[2];          /* the node knows that the key was taken away */
short proof[2];       /* a reading of the node's clock */
bit heard;            /* node 1's proof is node 0's */

#ifdef CLOCK_STOPS
#define clock(n) (now - lost[n])
#else
#define clock(n) now
#endif

#define holds(n) (known[n] && !gone[n] && clock(n) - proof[n] < LIMIT)

active proctype Time()
{
end:
	do
	:: atomic { now < END -> now++ }
#ifdef CLOCK_STOPS
	:: atomic { now < END -> now++; lost[0]++ }
#endif
	od
}

active proctype Operator()
{
	removed = now
}

/* take puts what was learned in force: v says that the key is gone, p is the proof. */
inline take(n, v, p, fromPeer)
{
	if
#ifndef NO_FLOOR
	:: known[n] && v < gone[n] -> skip
#endif
	:: else ->
		assert(!known[n] || v >= gone[n]);
		gone[n] = v;
		if
		:: !known[n] || p > proof[n] ->
			proof[n] = p;
			known[n] = 1;
			if
			:: n == 1 -> heard = fromPeer
			:: else -> skip
			fi
		:: else -> skip
		fi
	fi
}

proctype Reader(byte n)
{
	bit v;
	short begun;
	short age;
end:
	do
	:: atomic { begun = clock(n); v = 0 };
		atomic { v = (removed != NEVER) }; /* the store answers */
		atomic {
#ifdef PROOF_AT_END
			begun = clock(n);
#endif
			take(n, v, begun, 0);
			begun = 0; v = 0
		}
	:: n == 1 -> /* ask node 0 */
		begun = clock(1);
		atomic {
			known[0] ->
			v = gone[0];
			age = clock(0) - proof[0]
		};
		atomic {
#ifdef AGE_FORGOTTEN
			age = 0;
#endif
#ifdef AGE_FROM_ANSWER
			begun = clock(1);
#endif
			take(1, v, begun - age, 1);
			begun = 0; v = 0; age = 0
		}
	od
}

proctype Caller(byte n)
{
end:
	do
	:: atomic {
			holds(n) -> /* looked at when the request is sent */
#ifdef NO_RECHECK
			skip
		};
		atomic { /* looked at when it came in, and sent at any time after */
#endif
			assert(removed == NEVER || now - removed < REVOKE);
#ifdef REACH_LATE
			assert(removed == NEVER || now == removed);
#endif
#ifdef REACH_BY_PEER
			assert(n == 0 || !heard);
#endif
			skip
		}
	od
}

init
{
	atomic {
		run Reader(0);
		run Reader(1);
		run Caller(0);
		run Caller(1)
	}
}
