// Package limits enforces a team's token rate over the whole environment,
// although each node counts only the requests that it serves itself.
//
// # Load pattern
//
// A team's callers connect to a few home nodes, unevenly: one of three homes may
// get most of a team's traffic. Meanwhile nodes stop, pause and lose contact with
// each other.
//
// # Failure without it
//
// If each node allows the whole limit, a team with n homes gets n times its
// limit. With fixed even shares, a team whose callers all connect to one home
// gets 1/n of its limit. If each node computes its share from the last demands
// that it received, nodes that lose contact again add up to n times the limit.
//
// # Use
//
// Each home owns an even share of the limit. A home lends the part that it does
// not need to homes that need more. Each loan is a lease, which is longer the more
// homes the team has. Nodes request loans in their regular exchange, one request
// at a time per peer, and a loan is granted only in the response:
//
//	peers := s.ExchangePeers(now)              // peers to exchange with
//	requests := s.RequestLoans(now, peer)      // sent by the borrower
//	loans := s.Lend(now, borrower, requests)   // response of the lender
//	s.Borrow(now, sentAt, peer, loans)         // sentAt: the time given to RequestLoans
//
//	ok, retryAfter, share := s.Allow(now, "bogor", 300)
//	s.Correct(now, "bogor", actual-300)
//
// # Bound
//
// While the homes agree on the team's limit and on its list of homes, the sum of
// their rates never exceeds the limit, even if messages are lost, delayed or
// delivered in one direction only. The lender subtracts a loan from its own rate
// until one lease after it sent the response. The borrower uses the loan until one
// lease after it sent the request, which is earlier. Clocks of different nodes are
// never compared. A loan ends early only when the borrower states in a later
// request that it has stopped using it. In any time T a team gets at most
//
//	limit * (T + Burst) + one request per home (+ what Correct adds)
//
// Two cases exceed the bound. A home that restarts has lost its record of what it
// lent, which adds at most its even share for one lease. While nodes disagree on
// the limit or the homes, each node allows what its own view gives, and a loan
// granted under the old view lasts for its lease. If two lists of homes differ in
// length by at most two, the lender's lease is still the longer one.
//
// The loans of a peer that stops answering expire, so both sides are back at the
// even split after one lease.
//
// # Reasons for the values
//
// Lease spans several exchanges, which are about a second apart, so that one lost
// message does not change the split. LeasePerHome is the time per additional
// request of a node that sends one in three of four seconds. With 37 homes and a
// lease of 20 s, loans expire while the node still looks for more: one hot home
// gets 0.39 of the limit, and 0.81 with a lease of 61 s. Headroom reserves
// capacity for the growth of demand until the next exchange. Burst admits the
// requests of one second at once.
package limits
