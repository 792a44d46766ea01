package fleet

import (
	"time"

	"github.com/cicadatack/cicadatack/decide/limits"
	"github.com/cicadatack/cicadatack/fleet/exchange"
)

// maxLoans bounds the teams whose limits one exchange carries, and with it the
// bytes: about 45 each. Questions beyond it are not sent; what was lent for
// those teams runs out with its lease, and the even split holds.
const maxLoans = 16

// Limits splits the teams' limits over their home nodes. The homes of a team
// ask each other for what they don't use, on the regular exchange. It is called
// by several goroutines.
type Limits interface {
	// ExchangePeers names the peers to exchange with for the teams' limits, the most urgent
	// first.
	ExchangePeers() []string
	// RequestLoans returns what to ask a peer now; Borrow gets the same time with the
	// answer, which tells the last question from those before.
	RequestLoans(now time.Time, peer string) []limits.LoanRequest
	// Lend answers a peer's questions.
	Lend(peer string, asks []limits.LoanRequest) []limits.Loan
	// Borrow takes a peer's answer to what was asked at a time.
	Borrow(asked time.Time, peer string, loans []limits.Loan)
}

// noLimits is a node that splits no limit.
type noLimits struct{}

func (noLimits) ExchangePeers() []string                             { return nil }
func (noLimits) RequestLoans(time.Time, string) []limits.LoanRequest { return nil }
func (noLimits) Lend(string, []limits.LoanRequest) []limits.Loan     { return nil }
func (noLimits) Borrow(time.Time, string, []limits.Loan)             {}

func asksToWire(asks []limits.LoanRequest) []*exchange.Ask {
	out := make([]*exchange.Ask, 0, min(len(asks), maxLoans))
	for _, a := range asks[:min(len(asks), maxLoans)] {
		out = append(out, &exchange.Ask{Team: a.Team, Demand: a.Demand, Keep: a.InUse, Asked: a.SentAt})
	}
	return out
}

func asksFromWire(list []*exchange.Ask) []limits.LoanRequest {
	out := make([]limits.LoanRequest, 0, min(len(list), maxLoans))
	for _, a := range list[:min(len(list), maxLoans)] {
		out = append(out, limits.LoanRequest{Team: a.GetTeam(), Demand: a.GetDemand(), InUse: a.GetKeep(), SentAt: a.GetAsked()})
	}
	return out
}

func loansToWire(loans []limits.Loan) []*exchange.Loan {
	out := make([]*exchange.Loan, 0, len(loans))
	for _, l := range loans {
		out = append(out, &exchange.Loan{Team: l.Team, Demand: l.Demand, Rate: l.Rate})
	}
	return out
}

func loansFromWire(list []*exchange.Loan) []limits.Loan {
	out := make([]limits.Loan, 0, min(len(list), maxLoans))
	for _, l := range list[:min(len(list), maxLoans)] {
		out = append(out, limits.Loan{Team: l.GetTeam(), Demand: l.GetDemand(), Rate: l.GetRate()})
	}
	return out
}
