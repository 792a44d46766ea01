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
// A lane is a kind of request, such as long jobs, that may have no free slot while
// requests of other kinds can start. A flow is one team in the scheduler. It has one
// virtual time over all lanes, so a team can't gain by spreading its requests over
// several lanes.
//
// # Grounds for the default credit
//
// The credit is the most that a team may be behind the virtual time of the scheduler,
// in tokens at weight 1. Without this bound, a team whose lane had no free slot for a
// while would later take every slot until it has caught up, and the other teams would
// stall. The default equals four long jobs: it allows a refund of an overestimated
// cost and bounds the stall to four jobs.
package fairness
