// Package limits enforces a team's token rate over the whole environment,
// although each node counts only the requests that it serves itself.
//
// # Load pattern
//
// A team's callers connect to a few nodes, the homes of the team
// (decide/entrypoints), and unevenly: one of three homes may get most of the
// team's traffic. Meanwhile nodes stop, pause and lose contact with each other.
//
// # Failure without this package
//
// If each node allows the whole limit, a team with n homes gets n times its
// limit. With fixed even shares, a team whose callers all connect to one home
// gets 1/n of its limit. If each node computes its share from the last demands
// that it received from the others, these shares add up to as much as n times
// the limit when nodes lose contact.
//
// # Use
//
// Each home owns an even share of the limit: the limit divided by the number of
// homes. A home lends the part of its share that it does not need to nodes that
// need more. The rate of a node is what the node allows at present: its even
// share, minus what it lends, plus what it borrows. A node that is not a home
// has no even share, so it allows only what it borrows.
//
// Each loan is limited to a period, the lease, which is longer the more homes
// the team has. An exchange is one request of a node to a peer and the
// response. Nodes make about one exchange a second. A node requests loans in
// its exchanges, and a loan is granted only in the response:
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
// all nodes' rates never exceeds the limit, even if messages are lost, delayed
// or delivered in one direction only. The lender subtracts a loan from its own
// rate until one lease after it sent the response. The borrower uses the loan
// until one lease after it sent the request, which is earlier. Clocks of
// different nodes are never compared. The lender reduces or ends a loan early
// only when the borrower states in a later request how much of the loan it still
// uses. In any time T a team gets at most
//
//	limit * (T + Burst) + one request per home (+ what Correct adds)
//
// Each node has a token bucket. One request may overdraw the bucket of its
// node, and a bucket below zero is said to be in debt.
//
// Two cases exceed the bound. A home that restarts has lost its record of the
// loans that it granted, which adds at most its even share for one lease. While
// nodes disagree on the limit or the homes, each node allows what its own view
// gives, and a loan granted under the old view lasts for its lease. If two
// lists of homes differ in length by at most two, the lender's lease is still
// the longer one.
//
// When a peer stops answering, the loans to and from this peer expire, so after
// one lease both nodes have these parts of their even shares back.
//
// # Reasons for the values
//
// Lease spans several exchanges, so that one lost message does not change the
// split. LeasePerHome is needed because a node makes loan requests in at most
// three of four exchanges, so each additional home delays the node's next
// request to the same home by more than a second. Assume 37 homes of which one
// gets most of the demand. With a fixed lease of 20 s, loans expire while this
// home still looks for other lenders, and the home gets 0.39 of the limit. With
// a lease of 61 s the home gets 0.81. Headroom reserves capacity for the growth
// of a node's demand until the next exchange. Burst admits the requests of one
// second at once.
package limits
