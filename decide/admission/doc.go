// Package admission decides, for one service on one node, which requests run, wait or
// are refused.
//
// # Load pattern
//
// All teams send their requests within the same time window at dawn. The offered load is
// then two to four times what the replicas can serve. The teams differ in size, long
// reports are mixed with short questions, and some of the replicas may be down. The
// package calls the start of such a period a rush.
//
// # Failures without admission control
//
// A first-in-first-out queue grows until every request starts after its deadline. From
// then on each request that starts has a caller who has already left. The replicas are
// busy, but no response is useful, and this state lasts long after the rush. The team with
// the highest load determines the wait of all teams, and a few long jobs that hold the
// slots delay hundreds of short requests.
//
// # Terms
//
//   - A slot runs one request at a time on a replica. The slots of a node are the slots
//     that this node may use. Nodes that share replicas divide the slots of these replicas.
//   - The cost of a request is measured in tokens. The work of several requests is the
//     sum of their expected costs.
//   - The class of a request is Order, Interactive or Batch. An order is a call of a
//     plain service (a service that is not a model) that must not run twice.
//   - A long job is a request, other than an order, whose expected cost is at least
//     Config.LongCost. All other requests are short. The job length of a request is
//     short or long.
//   - The demand of a team is the work that it offers, in tokens per second.
//   - The share of a team is the part of the node's slots that corresponds to its weight
//     among the teams with demand. A hot team has a demand far above its share.
//   - The virtual time of a team is the work that it was served, divided by its weight;
//     see package fairness.
//   - The drain rate is the work that the node's slots finish, in tokens per second.
//   - The forecast rate of a team is the part of the drain rate that the team is expected
//     to get. A low-demand team has a demand of at most its forecast rate.
//   - The service is silent while answers have begun and none of them has got a further part
//     for SilenceAfter. Slot time does not count the time for which the service is silent, up
//     to maxSilence.
//   - A review recomputes the forecast rates and refuses the waiting requests that will
//     miss their deadlines. It runs every TickInterval while requests wait.
//   - Headroom is the number of slots kept free for teams below their share.
//   - The credit is the most work that a team, or a job length, may catch up on after a
//     time in which its requests could not start.
//   - The elapsed ratio is the time that the running requests have taken so far, divided
//     by their expected duration. Both times are summed over the running requests. The
//     service is stalled if this ratio is more than stalledElapsedOverMax times its normal
//     maximum.
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
//   - The waiting team with the lowest virtual time is served next. Within a team orders
//     go first, then interactive requests, then batch jobs. Within a class, short requests
//     and long jobs get the same amount of work, each in order of arrival.
//   - While an order of any team waits, no batch job starts, unless the virtual time of the
//     order's team is far above that of the batch job's team.
//   - At the start of a rush a part of the slots is kept for teams below their share,
//     until the demand of these teams is measured.
//   - Long jobs use only the slots that the recent demand of short requests leaves free.
//     If long jobs hold all of these slots, the other long jobs are passed over.
//   - A request is refused when it is offered, if its predicted start is after its
//     deadline. A waiting request is refused as soon as its predicted start is after its
//     deadline. A refused request was not run, and no refusal is delayed.
//   - RetryAfter is the time after which a retry is expected to be admitted. By then the
//     queue has drained far enough, and the team's refused requests that were told to
//     retry earlier have been served.
//
// # Grounds for the wait prediction
//
// Waits are predicted from the drain rate. The drain rate is the tokens per second of one
// slot, averaged with the time constant rateTimeConstant, times the number of the node's
// slots, averaged with the time constant meanSlotsTimeConstant. The number of slots is
// averaged because it changes quickly where nodes share replicas. The mean number of slots
// restarts when the first request has to wait: before a rush each node sees nearly all
// slots as free, but in the rush all nodes use these slots. A loss of replicas lowers the
// drain rate at once, before any request has finished late. The reasons for the other
// constants stand beside them.
//
// # Limits
//
// Only the expected cost tells long jobs from short requests. If a caller understates the
// cost of a long job, the queue treats the job as short. When the job finishes, the team is
// charged the actual cost.
package admission
