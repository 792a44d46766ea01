// Package paths chooses, for each request, the replicas that its tokens run
// through, where each replica holds some layers of the model.
//
// Use: keep one Book for each model and node. Tell it the replicas with Update as
// they are listed, ask Choose for a path, note the choice with Hold and its end with
// Release. Suspect, Full and Well tell what answers have shown. A Book is not safe
// for concurrent use; the caller locks.
//
// # Load pattern
//
// Some hundred streams at once, each of which takes memory in every layer for as
// long as it lasts, over cards that differ tenfold in speed and threefold in room;
// cards die, fill up or give up layers at any moment.
//
// # Without it
//
// With fixed chains the loss of one card stops a whole chain, and the chain is as
// narrow as its narrowest card. Choosing by speed alone fills the fast cards, which
// then preempt their newest request in the middle of its stream.
//
// # How
//
// Each replica may run any part of what it holds. The cheapest way through the
// layers is a shortest path: a part costs its layers' time on that card, a price for
// the room that is booked there, and a hop; to leave the failure domain costs far
// more. Room is booked before the request is sent, since reports of it are old by
// the time of some hundred requests.
//
// A replica that refuses although it has room does so for a reason that the list does not
// tell yet: it is about to leave, gives up its layers, or waits for what is gone. It is
// left out for a pause that doubles with each further refusal (away), and whoever finds
// no other holder waits: a refusal costs a try, and the tries of all nodes are few.
//
// # Grounds for the figures
//
//   - Room is priced as u/(1-u) of a step of a slow card: at half of the room it
//     doubles the cost of a slow card, so fast and slow cards fill at about the same
//     rate, and speed decides only while there is room. Objectives are met at the
//     slowest card's pace, so speed buys nothing more.
//   - Crossing a failure domain in the middle of a path costs as much as ten paths
//     (crossCost): all share the pipes between domains, a prompt takes 16 ms of one,
//     and the prompts of one domain, crossing twice, fill it. A first part in another
//     domain (entryCost) costs the answer's bytes only.
//   - The pace of a slow replica counts squared: at twelve times the usual step it is
//     not only slow but can't keep up with what runs through it.
package paths
