package retryloans

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cicadatack/cicadatack/decide/retry"
)

// Budget is the retry budget of one service at this node.
type Budget interface {
	Balance(now time.Time) retry.Balance
	Withdraw(now time.Time, retries float64) float64
	Credit(now time.Time, retries float64, until time.Time)
}

// Entry is the part of a Message that concerns one service, in retries.
type Entry struct {
	Service string
	// Deposit is what the sender of an ask gives to the hub.
	Deposit float64
	// Wanted is what the sender of an ask lacks. In a reply it is what the hub invites the
	// other to deposit with its next ask.
	Wanted float64
	// Granted is what a reply gives to the node that asked.
	Granted float64
}

// Message is an ask or the reply to one. The zero value is a message without content.
type Message struct {
	// Token names the invitation of a reply, or the invitation that the deposits of an ask
	// answer; 0 if there is none.
	Token   uint64
	Entries []Entry
}

// Totals counts retries of one service since the start.
type Totals struct {
	// Lent is what this node withdrew from its own budget, Borrowed what it was credited.
	Lent, Borrowed float64
	// Pooled is what its pool holds now.
	Pooled float64
}

// Ask identifies an ask, for its reply.
type Ask struct {
	hub    string
	asHub  bool
	number uint64
}

// pendingAsk is an ask whose reply has not come.
type pendingAsk struct {
	number uint64
	sentAt time.Time
	wanted map[string]float64
}

// invitation asks a node to deposit retries: for the hub, one that it issued; for the node,
// one that it received.
type invitation struct {
	token   uint64
	at      time.Time
	amounts map[string]float64
}

// Ledger holds the loans of one node.
type Ledger struct {
	random   *rand.Rand
	accounts map[string]*account
	asks     uint64
	pending  map[string]pendingAsk // by hub
	issued   map[string]invitation // by node
	received map[string]invitation // by hub
	ignored  int
}

// New returns a Ledger without loans. Each start of a node needs another seed, so that no
// token of an earlier process is issued again.
func New(seed uint64) *Ledger {
	return &Ledger{
		random: rand.New(rand.NewPCG(seed, ^seed)), accounts: map[string]*account{},
		pending: map[string]pendingAsk{}, issued: map[string]invitation{}, received: map[string]invitation{},
	}
}

// SetBudgets sets the budgets of the services whose retries are lent. Loans of other services
// end.
func (l *Ledger) SetBudgets(budgets map[string]Budget) {
	maps.DeleteFunc(l.accounts, func(service string, _ *account) bool { return budgets[service] == nil })
	for service, b := range budgets {
		if a := l.accounts[service]; a != nil {
			a.budget = b
			continue
		}
		l.accounts[service] = &account{budget: b, shortfalls: map[string]shortfall{}}
	}
}

// Totals returns the totals of each service.
func (l *Ledger) Totals(now time.Time) map[string]Totals {
	all := make(map[string]Totals, len(l.accounts))
	for service, a := range l.accounts {
		a.expire(now)
		totals := a.totals
		totals.Pooled = a.pool.available(now)
		all[service] = totals
	}
	return all
}

// TakeIgnored returns how many entries of messages were ignored since the last call, because
// no node would send them.
func (l *Ledger) TakeIgnored() int {
	n := l.ignored
	l.ignored = 0
	return n
}

// Ask returns what this node sends to a hub. asHub is set if this node is a hub itself. From
// now on the deposits are subtracted here, whether or not the message arrives.
func (l *Ledger) Ask(now time.Time, hub string, asHub bool) (Message, Ask) {
	l.asks++
	wanted := map[string]float64{}
	invited := l.received[hub]
	delete(l.received, hub)
	if asHub || now.Sub(invited.at) >= ValidFor {
		invited = invitation{}
	}
	var message Message
	for _, service := range slices.Sorted(maps.Keys(l.accounts)) {
		a := l.accounts[service]
		a.expire(now)
		entry := Entry{Service: service, Wanted: a.useOwnPool(now)}
		if asHub {
			entry.Wanted = a.lacking(now, entry.Wanted, fromLeaf)
		}
		if amount := invited.amounts[service]; amount > 0 && entry.Wanted == 0 {
			entry.Deposit = a.withdraw(now, min(amount, Surplus(a.budget.Balance(now))))
		}
		if entry.Deposit > 0 {
			message.Token = invited.token
		}
		if entry.Deposit > 0 || entry.Wanted > 0 {
			message.Entries = append(message.Entries, entry)
			wanted[service] = entry.Wanted
		}
	}
	l.pending[hub] = pendingAsk{number: l.asks, sentAt: now, wanted: wanted}
	return message, Ask{hub: hub, asHub: asHub, number: l.asks}
}

// Receive takes the reply to an ask. A second reply to it is ignored.
func (l *Ledger) Receive(now time.Time, ask Ask, reply Message) {
	pending, ok := l.pending[ask.hub]
	if !ok || pending.number != ask.number {
		return
	}
	delete(l.pending, ask.hub)
	invited := invitation{token: reply.Token, at: now, amounts: map[string]float64{}}
	for _, entry := range l.readable(reply.Entries) {
		a := l.accounts[entry.Service]
		if a == nil {
			continue
		}
		if entry.Granted > pending.wanted[entry.Service] {
			l.ignored++
			continue
		}
		pending.wanted[entry.Service] = 0 // an entry that is repeated grants nothing
		if ask.asHub {
			a.pool.add(entry.Granted, pending.sentAt.Add(HoldTime))
			a.useOwnPool(now)
		} else {
			a.credit(now, entry.Granted, pending.sentAt.Add(UseTime))
		}
		if entry.Wanted > 0 {
			invited.amounts[entry.Service] = entry.Wanted
		}
	}
	if reply.Token != 0 && len(invited.amounts) > 0 {
		l.received[ask.hub] = invited
	}
}

// Reply returns the reply to the ask of a node or of another hub. From now on what it grants
// is subtracted here, whether or not the reply arrives.
func (l *Ledger) Reply(now time.Time, node string, nodeIsHub bool, ask Message) Message {
	l.expireInvitations(now)
	entries := l.readable(ask.Entries)
	l.takeDeposits(now, node, ask.Token, entries)
	for _, a := range l.accounts {
		a.expire(now)
		delete(a.shortfalls, node) // what it lacks now is in this ask
	}
	var reply Message
	for _, entry := range entries {
		a := l.accounts[entry.Service]
		if a == nil || entry.Wanted == 0 {
			continue
		}
		if granted := a.grant(now, node, nodeIsHub, entry.Wanted); granted > 0 {
			reply.Entries = append(reply.Entries, Entry{Service: entry.Service, Granted: granted})
		}
	}
	if !nodeIsHub {
		l.invite(now, node, entries, &reply)
	}
	return reply
}

// takeDeposits adds the deposits of an ask to the pools, if its token is that of the last
// invitation to this node and has not been used. Their Lifetime counts from the time at which
// the token was issued.
func (l *Ledger) takeDeposits(now time.Time, node string, token uint64, entries []Entry) {
	invited, ok := l.issued[node]
	if token == 0 || !ok || invited.token != token {
		return
	}
	delete(l.issued, node)
	for _, entry := range entries {
		a := l.accounts[entry.Service]
		switch {
		case a == nil:
		case entry.Deposit > invited.amounts[entry.Service]:
			l.ignored++
		default:
			invited.amounts[entry.Service] = 0 // an entry that is repeated deposits nothing
			a.pool.add(entry.Deposit, invited.at.Add(Lifetime))
			a.expire(now)
		}
	}
}

// invite adds to a reply what the node should deposit with its next ask. Services of which the node
// itself wants retries are left out, so no entry of the reply both grants and invites.
func (l *Ledger) invite(now time.Time, node string, entries []Entry, reply *Message) {
	if len(l.issued) >= MaxAskers {
		return
	}
	amounts := map[string]float64{}
	for _, service := range slices.Sorted(maps.Keys(l.accounts)) {
		if slices.ContainsFunc(entries, func(e Entry) bool { return e.Service == service && e.Wanted > 0 }) {
			continue
		}
		a := l.accounts[service]
		a.expire(now)
		lacking := a.lacking(now, Want(a.budget.Balance(now)), fromAny)
		amount := min(max(1, math.Ceil(lacking*invitedShare)), invitedFactor*lacking-l.invited(now, service))
		if lacking > 0 && amount >= 1 {
			amounts[service] = amount
			reply.Entries = append(reply.Entries, Entry{Service: service, Wanted: amount})
		}
	}
	if len(amounts) > 0 {
		reply.Token = max(1, l.random.Uint64())
		l.issued[node] = invitation{token: reply.Token, at: now, amounts: amounts}
	}
}

// invited returns how many retries of a service nodes were invited to deposit within ValidFor.
func (l *Ledger) invited(now time.Time, service string) float64 {
	sum := 0.0
	for _, i := range l.issued {
		if now.Sub(i.at) < ValidFor {
			sum += i.amounts[service]
		}
	}
	return sum
}

// expireInvitations drops the invitations whose deposits would end before a borrower may use them
// for UseTime.
func (l *Ledger) expireInvitations(now time.Time) {
	maps.DeleteFunc(l.issued, func(_ string, i invitation) bool { return now.Sub(i.at) >= Lifetime-UseTime })
}

// readable returns the entries that a node may send, and counts the others.
func (l *Ledger) readable(entries []Entry) []Entry {
	var list []Entry
	for i, e := range entries {
		if i >= MaxEntries {
			l.ignored += len(entries) - i
			break
		}
		if !valid(e.Deposit) || !valid(e.Wanted) || !valid(e.Granted) {
			l.ignored++
			continue
		}
		list = append(list, e)
	}
	return list
}
