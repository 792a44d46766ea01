// Package poison finds the parts of prompts that crash replicas, from the crashes and the answers
// of all nodes.
//
// # Load pattern
//
// Some requests share one part of their prompts, and each replica that begins to answer such a
// request crashes. Otherwise the requests have nothing in common that other requests lack. They
// arrive at all nodes, and each replica that crashes breaks off the requests of others as well.
//
// # Failure without this package
//
// A crash is held against the replica. Its requests are retried at other replicas, and the next
// request with the part is sent to another replica. So the fault moves from replica to replica for
// as long as such requests arrive, and the service is down for all callers.
//
// # Rules
//
//   - A crash is the end of a replica's process, identified by the replica and its incarnation. If
//     several nodes see one crash, it counts once.
//   - A replica that goes on with a request that was sent before its crash has not crashed. The
//     nodes that saw a crash have lost their links to it.
//   - A part is exposed to a crash if a request with it was at the replica and its answer was not
//     complete. So is what identifies the request itself (Own), whoever sends it how often.
//   - An answer has begun if it has gone on for ProvenAfter with ProvenEvents. Of the requests with a part
//     that were at a crash some waited, and the answers to others had begun. The evidence of those that
//     waited is strong if the end of the process is certain. Other evidence isolates for long only after
//     settleAfter, as other nodes may refute it.
//   - A complete answer clears its parts of all earlier crashes, whichever node saw it. An answer that has
//     begun clears shared parts of the evidence of requests that waited. Parts that most requests have
//     are cleared all the time. What each of several replicas has given a part of clears nothing.
//   - Two crashes count as two for a part only if the request at the later one was sent after the
//     earlier one. Crashes at the same moment have a common cause, such as the loss of a rack.
//   - Evidence against a part counts only while requests without the part are answered, at any nodes.
//     If nothing is answered, the replicas crash on everything, and no part is the cause. Such answers
//     are those that would have cleared the part: see judgeWaiting, judgeBegun and judgeAnswered.
//   - A part that was never answered is suspect from the first crash, and isolated after
//     isolateAfter crashes or manyCrashes that overlap. A request that was never answered, or a part
//     to which answers begin and never become complete, is suspect after suspectRepeatedAfter crashes:
//     a first crash under a new request mostly has another cause. What was answered needs more: see
//     suspectAnsweredAfter and isolateAnsweredAfter.
//   - If replicas also crash without a request, as in a restart of one after the other, it takes one
//     crash more for each such moment to isolate it, up to maxOwnCrashes.
//   - If replicas crash faster than answers become complete, a part that was at the last crashes, and that
//     most requests do not have, is held back for HoldFor at most; see held.
//   - Suspect parts are sent to one replica at a time by each node, and a request with one is not
//     retried after a crash. Parts that are held back or isolated are
//     sent to none.
//   - An isolation ends when an operator lifts it, or when a request with the part is answered.
//     TrialDue says when one request may be sent to find that out.
//
// What a caller claims about its prompt costs nothing by itself: evidence needs crashes, and parts
// that others use are cleared by their answers.
package poison
