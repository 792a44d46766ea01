// Package admission decides, for one service on one node, which requests run, wait or
// are refused.
//
// # Load pattern
//
// All teams send their requests within the same time window at dawn. The offered load is
// then two to four times what the replicas can serve. The teams differ in size, long reports are mixed with short
// questions, and some of the replicas may be down. The package calls the start of such
// a period a rush.
//
// # Failures without admission control
//
// A first-in-first-out queue grows until every request starts after its deadline. From
// then on each start is for a caller who has already left. The replicas are busy, but
// no response is useful, and this continues long after the rush. The team with the
// highest load determines the wait of all teams, and a few long jobs that hold the slots
// delay hundreds of short requests.
//
// # Terms
//
//   - A slot runs one request at a time on a replica.
//   - The cost of a request is measured in tokens. The work of several requests is the
//     sum of their expected costs.
//   - The job length of a request is long if its expected cost is at least
//     Config.LongCost. All other requests, and all orders, are short.
//   - The demand of a team is the work that it offers, in tokens per second. A hot team
//     has a demand far above its share by weight.
//   - The drain rate is the work that the node's slots finish, in tokens per second.
//   - Headroom is the number of slots kept free for teams below their share.
//
// # Use
//
// The caller locks the queue, passes the current time in and acts on the returned
// verdicts: it sends the requests that are to run and answers the refused requests.
//
//	q := admission.New(admission.Config{Slots: 64})
//	q.SetTeam("bogor", 2)
//	act(q.Offer(now, admission.Request{ID: 1, Team: "bogor", Class: admission.Interactive, Cost: 300, Deadline: latest}))
//	act(q.Finish(now, 1, 280)) // or q.Cancel(now, 1) if the caller has left
//	verdicts, next := q.Tick(now)
//	act(verdicts) // and call Tick again at next
//
// # Rules
//
//   - Order of teams: the team with the least served work for its weight is next; see
//     package fairness. Within a team orders go first, then interactive requests, then
//     batch jobs, each in order of arrival. While an order waits, no batch job starts,
//     unless the team of the order is far above its share.
//   - At the start of a rush a part of the slots is kept for teams below their share,
//     until the demand of these teams is measured.
//   - Long jobs use only the slots that the recent demand of short requests leaves free.
//     If these slots are full, long jobs are passed over.
//   - A request is refused when it is offered, if its predicted start is after its
//     deadline. A waiting request is refused as soon as its predicted start is after its
//     deadline. A refused request was not run, and no refusal is delayed.
//   - RetryAfter is the time until the queue has drained far enough, including the
//     requests that were told to retry earlier.
//
// # Grounds for the wait prediction
//
// The predicted wait is based on the tokens per second of a slot, averaged over
// rateWindow, times the mean number of the node's slots over shareWindow. The node's
// slots are averaged because their number swings where nodes share replicas. The mean
// restarts when the first request has to wait, because the slots that were free before
// a rush are then taken by all nodes. A loss of replicas lowers the prediction at once,
// before any request has finished late. The reasons for the other constants stand
// beside them.
//
// # Limits
//
// Long and short requests are told apart by the expected cost. A caller that
// understates the cost of a long job gets it treated as short. When the job finishes,
// the actual cost is charged to the team's share.
package admission
