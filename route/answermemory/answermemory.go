// Package answermemory bounds the memory that a node takes for answers of endpoints that it holds until
// they, or their next event, are complete.
//
// # Failure without this package
//
// Each answer has a bound, but not their sum. An endpoint in trouble sends bodies without end to all
// requests that it gets. The node holds each of them up to the bound of one answer. With some hundred
// requests at once the process is killed for its memory, and the requests of all other callers end with it.
//
// # Rule
//
// What exceeds FreeBytes of an answer is charged to a budget of the node. One endpoint gets a part of the
// budget, so that it can't take the place of the others' answers. The user of an Account that can't grow
// passes the answer on as it arrives, waits, or gives it up.
package answermemory

import "sync"

const (
	// FreeBytes of each answer are not charged. Nearly all answers are shorter.
	FreeBytes = 32 << 10
	// endpointPart is the part of the budget that the answers of one endpoint may take.
	endpointPart = 1.0 / 4
)

// Budget is the memory for the answers that a node holds. It is safe for concurrent use. A nil *Budget
// has no limit.
type Budget struct {
	limit, endpointLimit int

	mu         sync.Mutex
	used       int
	byEndpoint map[string]int
}

// New returns a budget of limit bytes.
func New(limit int) *Budget {
	return &Budget{limit: limit, endpointLimit: int(endpointPart * float64(limit)), byEndpoint: map[string]int{}}
}

// Used returns the number of bytes that are charged.
func (b *Budget) Used() int {
	if b == nil {
		return 0
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Account returns the account of one answer of an endpoint. It must be released.
func (b *Budget) Account(endpoint string) *Account {
	if b == nil {
		return nil
	}
	return &Account{budget: b, endpoint: endpoint}
}

// Account is the memory of one answer. It is safe for concurrent use. A nil *Account has no limit.
type Account struct {
	budget   *Budget
	endpoint string
	// charged is guarded by the lock of the budget.
	charged int
}

// Resize charges the memory that the answer takes, in place of what it took before. It reports whether
// the budget allows it. If not, the charge remains as it was.
func (a *Account) Resize(bytes int) bool {
	if a == nil {
		return true
	}
	if bytes <= FreeBytes {
		bytes = 0
	}
	b := a.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	more := bytes - a.charged
	if more > 0 && (b.used+more > b.limit || b.byEndpoint[a.endpoint]+more > b.endpointLimit) {
		return false
	}
	a.charged = bytes
	b.used += more
	b.byEndpoint[a.endpoint] += more
	if b.byEndpoint[a.endpoint] == 0 {
		delete(b.byEndpoint, a.endpoint)
	}
	return true
}

// Release charges nothing any more. Further calls have no effect.
func (a *Account) Release() { a.Resize(0) }
