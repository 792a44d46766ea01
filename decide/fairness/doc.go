// Package fairness shares the capacity of one service between teams by
// weight. It is start-time fair queueing: every team has a virtual time, which
// grows by cost/weight with each request that starts, and the waiting team with
// the least virtual time goes next.
//
// # Load pattern
//
// One team sends many times its share (a hot caller, a client in a retry loop,
// a nightly job started at noon) while others send their usual few requests.
//
// # Without it
//
// In one first-in-first-out queue the wait is the same for all and is set by
// the hottest team: a team that sends one request a second waits behind the
// thousands of another.
//
// # Use
//
// Call [Scheduler.Add] for a team, [Scheduler.Wake] when its first request
// waits in a lane and [Scheduler.Sleep] when its last one has left. Take the
// team that [Scheduler.Min] gives, start a request of it and call
// [Scheduler.Charge] with the expected cost. When the actual cost is known,
// call [Scheduler.Correct] with the difference.
//
// A lane is a set of requests that may be out of room while others go on, such
// as long jobs. A team has one virtual time over all lanes, so it can't gain by
// spreading its work over them.
//
// # Grounds for the figures
//
// Credit is the most that a team may be behind the virtual time of the
// scheduler, in tokens at weight 1. Without a bound, a team that was kept
// waiting in a lane without room would afterwards take every slot until it has
// caught up: the others would see a stall. The default of four long jobs lets a
// refund of an overestimate through and bounds that stall to four jobs.
package fairness
