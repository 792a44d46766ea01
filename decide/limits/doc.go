// Package limits holds a team to its token rate over the whole environment,
// although each node counts only what it serves itself.
//
// # Load pattern
//
// A team's callers connect to a few home nodes, unevenly: most of the traffic
// of a franchise group may come in at one of three. Nodes stop, pause and lose
// each other while this goes on.
//
// # Without it
//
// If each node allows the whole limit, a team with n homes gets n times its
// limit. With fixed even shares a team whose callers sit at one home gets 1/n
// of what it pays for. If each node works its share out from the demands it
// has last heard of, nodes that don't hear each other add up to n times again.
//
// # Use
//
// Each home owns the even part of the limit. What it does not need it lends to
// the homes that do, for Config.Lease. Nodes ask each other in their regular
// exchange, one question at a time to a peer; a loan goes only into the answer:
//
//	asks := s.Ask(now, peer)                 // the asking node sends these
//	loans := s.Lend(now, asker, asks)        // the other one answers
//	s.Borrow(now, askedAt, peer, loans)      // askedAt: the time given to Ask
//
//	ok, retryAfter, share := s.Allow(now, "bogor", 300)
//	s.Correct(now, "bogor", actual-300)
//
// # The bound
//
// While the homes agree on the team's limit and homes, the sum of their rates
// is never above the limit, whatever messages are lost, late or one-way: the
// lender takes a loan off its own rate until Lease after the answer left, the
// borrower uses it until Lease after its question left, which is earlier. No
// clocks are compared. A loan is given back early only by the borrower's word, in
// a later question, that it has stopped using it. In any time T a team gets at most
//
//	limit * (T + Burst) + one request per home (+ what Correct adds)
//
// Beyond the bound: a home that restarts has forgotten what it lent, which adds
// at most its even part for one Lease; while nodes disagree on the limit or the
// homes, each allows what its own view gives, and a loan made under the old
// view lasts its Lease.
//
// A silent peer's loans run out, and both sides are back at the even split
// after Lease.
//
// # Grounds for the figures
//
// Lease spans several exchanges of about a second, so that one lost message
// does not move the split. Headroom keeps at home what demand may grow by
// before the next exchange. Burst lets requests of a second come in together.
package limits
