// Package admission decides, for one service on one node, which requests run,
// wait or are refused.
//
// # Load pattern
//
// Every franchise asks within the same dawn window: two to four times what the
// replicas can do, from teams of unequal size, with long reports among short
// questions, while a part of the replicas may be lost.
//
// # Without it
//
// A first-in-first-out queue grows past every deadline. From then on each start
// is for a caller who has gone: the replicas are busy and no useful answer
// comes out, also long after the rush. The hottest team sets the wait of all,
// and a few long jobs in the slots hold up hundreds of short ones.
//
// # Use
//
// The caller locks the queue, passes the time in and acts on the verdicts: it
// sends the requests that are to run and answers those refused.
//
//	q := admission.New(admission.Config{Slots: 64})
//	q.SetTeam("bogor", 2)
//	act(q.Offer(now, admission.Request{ID: 1, Team: "bogor", Class: admission.Interactive, Cost: 300, Deadline: latest}))
//	act(q.Finish(now, 1, 280)) // or q.Abandon(now, 1) if the caller has left
//	verdicts, next := q.Tick(now)
//	act(verdicts) // and call Tick again at next
//
// # Rules
//
//   - Whom: the team with the least work served for its weight, see package
//     fairness; within a team orders, then interactive, then batch, each in order
//     of arrival. No batch job starts while an order waits, of any team that is
//     not far beyond its share.
//   - At the start of a rush a part of the slots is kept for teams below their
//     share, until their demand is measured.
//   - Long jobs (Config.LongCost) use only the slots that the short jobs of
//     late don't need, and are passed over when these are full.
//   - Refusal: at the offer, if the predicted start is after the deadline; later,
//     at once when the prediction says so. A refused request was not run. No
//     refusal is held back.
//   - RetryAfter: the time until the queue has drained far enough, with those
//     counted who were told to come back before.
//
// # Grounds for the figures
//
// The wait is predicted from tokens per second of a slot, measured over
// rateWindow, times the slots that the node has had of late (shareWindow): these
// swing where nodes share replicas. The mean begins anew when the first request has
// to wait: slots that stood free before a rush go to all nodes. A loss of replicas
// counts at once, before any request has finished late. The other figures stand with
// their constants.
//
// # Limits
//
// Long and short are told apart by the expected cost; a caller who understates
// it passes for short until its cost is corrected, and then pays with its share.
package admission
