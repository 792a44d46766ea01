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
// the homes that do, for a lease that grows with their number. Nodes ask each other in their regular
// exchange, one question at a time to a peer; a loan goes only into the answer:
//
//	peers := s.Meet(now)                     // whom to exchange with
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
// lender takes a loan off its own rate until the lease after the answer left, the
// borrower uses it until the lease after its question left, which is earlier. No
// clocks are compared. A loan is given back early only by the borrower's word, in
// a later question, that it has stopped using it. In any time T a team gets at most
//
//	limit * (T + Burst) + one request per home (+ what Correct adds)
//
// Beyond the bound: a home that restarts has forgotten what it lent, which adds
// at most its even part for one lease; while nodes disagree on the limit or the
// homes, each allows what its own view gives, and a loan made under the old
// view lasts its lease. Lists of homes that differ by up to two in length leave the
// lender's lease the longer one.
//
// A silent peer's loans run out, and both sides are back at the even split
// after the lease.
//
// # Grounds for the figures
//
// Lease spans several exchanges of about a second, so that one lost message
// does not move the split. LeasePerHome is what one more question takes a node that
// asks in three of four seconds: with 37 homes and 20 s, loans run out while the
// node looks for more (0.39 of the limit at one hot home, 0.81 with 61 s). Headroom keeps at home what demand may grow by
// before the next exchange. Burst lets requests of a second come in together.
package limits
