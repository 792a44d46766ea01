package admission

import "time"

// Class is the priority class of a request. Lower classes go first.
type Class uint8

// The classes, in the order in which they are served within a team.
const (
	Order Class = iota
	Interactive
	Batch
	classCount = 3
)

// String returns the name of the class in logs.
func (c Class) String() string {
	switch c {
	case Order:
		return "order"
	case Interactive:
		return "interactive"
	case Batch:
		return "batch"
	}
	return "unknown"
}

// Request describes a request that is offered to the queue.
type Request struct {
	// ID is unique among the waiting and running requests.
	ID   uint64
	Team string
	// Class values above Batch count as Batch.
	Class Class
	// Cost is the expected cost in tokens. A cost below 1 counts as 1.
	Cost float64
	// Deadline is the latest useful start time. Zero means Config.DefaultWait after
	// the offer.
	Deadline time.Time
}

// Kind says what the user of the queue has to do.
type Kind uint8

// The kinds of verdict.
const (
	// Run means: send the request to an endpoint now. The request holds a slot until
	// Finish, FinishTruncated or Cancel.
	Run Kind = iota + 1
	// Refuse means: answer the caller now; the request was not run.
	Refuse
)

// String returns the name of the kind in logs.
func (k Kind) String() string {
	switch k {
	case Run:
		return "run"
	case Refuse:
		return "refuse"
	}
	return "unknown"
}

// Reason says why a verdict was given.
type Reason uint8

// The reasons.
const (
	// SlotFree: a slot was free and the request was the next to start.
	SlotFree Reason = iota + 1
	// TooLate: the predicted start is after the deadline.
	TooLate
	// DeadlinePassed: the deadline passed before the request was offered or while it
	// waited.
	DeadlinePassed
	// QueueFull: Config.MaxWaiting requests are waiting.
	QueueFull
	// NoCapacity: the service has no slots.
	NoCapacity
	// Stalled: the running requests take far longer than expected.
	Stalled
	// TeamRemoved: the team was removed from the environment.
	TeamRemoved
	// DuplicateID: another request with this ID is waiting or running. The verdict
	// concerns the second offer only.
	DuplicateID
)

// String returns the name of the reason in logs and responses.
func (r Reason) String() string {
	switch r {
	case SlotFree:
		return "slot-free"
	case TooLate:
		return "too-late"
	case DeadlinePassed:
		return "deadline-passed"
	case QueueFull:
		return "queue-full"
	case NoCapacity:
		return "no-capacity"
	case Stalled:
		return "stalled"
	case TeamRemoved:
		return "team-removed"
	case DuplicateID:
		return "duplicate-id"
	}
	return "unknown"
}

// Verdict is the queue's decision on one request, with the values that led to it.
type Verdict struct {
	ID     uint64
	Team   string
	Class  Class
	Kind   Kind
	Reason Reason
	// RetryAfter is the time after which a refused caller is expected to be admitted.
	// It is zero for Run and where a retry does not help.
	RetryAfter time.Duration
	// Waited is the time from the offer to this verdict.
	Waited time.Duration
	// Predicted is the predicted wait until the start: for Run as predicted at the
	// offer, for Refuse as predicted at the verdict.
	Predicted time.Duration
	// QueueLength is the number of requests waiting after the verdict.
	QueueLength int
	// DrainRate is the node's drain rate in expected tokens per second; zero if unknown.
	DrainRate float64
}

// Stats is the state of the queue for logs and metrics.
type Stats struct {
	Slots           int
	Running         int
	Waiting         int
	RunningLongJobs int     // number of running long jobs
	LongJobSlots    int     // slots that long jobs may hold
	DrainRate       float64 // expected tokens per second
}

// Config configures a Queue. The zero value of a field selects its default.
type Config struct {
	// Slots is the number of requests that may run at a time. With zero slots all
	// requests are refused until SetCapacity or SetShare is called.
	Slots int
	// MaxWaiting is the largest number of waiting requests. It bounds the memory of
	// the queue.
	MaxWaiting int
	// DefaultWait is the longest wait of a request without a deadline.
	DefaultWait time.Duration
	// LongCost is the expected cost, in tokens, from which a request is a long job.
	LongCost float64
	// SlotRate is the number of expected tokens per second that a slot is assumed to
	// finish until the rate is measured. Zero means unknown: no request is refused as
	// too late before the first requests have finished.
	SlotRate float64
	// MaxRetryAfter is the largest RetryAfter of a verdict.
	MaxRetryAfter time.Duration
}

const (
	defaultMaxWaiting          = 20000
	defaultWaitWithoutDeadline = 30 * time.Second
	defaultLongCost            = 2048
	defaultMaxRetryAfter       = time.Minute

	// minRetryAfter keeps a refused caller from retrying within the time that a refusal
	// and a new request take together.
	minRetryAfter = 100 * time.Millisecond
	// noCapacityRetryAfter is the RetryAfter while the service has no slots. No drain
	// rate exists then, and new endpoints are detected within about a second.
	noCapacityRetryAfter = time.Second
	// stalledRetryAfter is the RetryAfter while the service is stalled. No drain rate
	// exists then either, and stalled endpoints are replaced within seconds.
	stalledRetryAfter = 5 * time.Second
)

// TickInterval is the longest time that the queue takes to detect that a waiting request
// will miss its deadline.
const TickInterval = 100 * time.Millisecond

// credit is the most work, in tokens, by which a team or a job length may be behind its
// share and still catch up.
func (c Config) credit() float64 { return maxCreditJobs * c.LongCost }

func (c Config) withDefaults() Config {
	if c.MaxWaiting <= 0 {
		c.MaxWaiting = defaultMaxWaiting
	}
	if c.DefaultWait <= 0 {
		c.DefaultWait = defaultWaitWithoutDeadline
	}
	if c.LongCost <= 0 {
		c.LongCost = defaultLongCost
	}
	if c.MaxRetryAfter <= 0 {
		c.MaxRetryAfter = defaultMaxRetryAfter
	}
	c.Slots = max(c.Slots, 0)
	return c
}
