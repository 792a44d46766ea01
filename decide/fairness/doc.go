// Package fairness shares the capacity of one service between teams by weight. It
// implements start-time fair queueing: each team has a virtual time, which grows by
// cost/weight with each request that starts, and the waiting team with the least
// virtual time is served next.
//
// # Load pattern
//
// One team sends many times its share (a client with a very high request rate, a client in a
// retry loop, a nightly job started at noon) while other teams send a few requests.
//
// # Failures without fair queueing
//
// In a single first-in-first-out queue all teams wait equally long, and the team with
// the highest load determines this wait. A team that sends one request a second waits
// behind thousands of requests of another team.
//
// # Use
//
// Call [Scheduler.Add] for each team. Call [Scheduler.Activate] when a team's first
// request waits in a lane, and [Scheduler.Deactivate] when its last request has left
// the lane. Take the flow that [Scheduler.Min] returns, start a request of that team
// and call [Scheduler.Charge] with the expected cost. When the actual cost is known,
// call [Scheduler.Correct] with the difference.
//
// # Terms
//
//   - A flow is one team in the scheduler.
//   - A lane holds the flows that wait with requests of one kind, such as long jobs. The
//     requests of one lane may have to wait for a slot while those of another lane can
//     start. A flow has one virtual time for all lanes, so a team can't gain by spreading
//     its requests over several lanes.
//   - The virtual time of the scheduler is the largest virtual time that a flow had when
//     one of its requests started. This virtual time never decreases.
//   - A flow is active while it waits in at least one lane. Otherwise it is idle.
//   - Tokens at weight 1 is the unit of virtual time: a request of 10 tokens adds 10 at
//     weight 1 and 5 at weight 2.
//
// # Grounds for the default credit
//
// The credit is the most that a team may be behind the virtual time of the scheduler,
// in tokens at weight 1. Without this bound, a team whose requests could not start for a
// while would later take every slot until its virtual time has caught up, and the other
// teams would get no slot. The default credit equals the cost of four long jobs. This
// credit leaves room for the refund of an overstated cost, and the other teams have to wait
// for at most four jobs.
package fairness
