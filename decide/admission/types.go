package admission

import "time"

// Class is the priority class of a request. Within a team, the class with the lowest value
// is served first.
type Class uint8

// The classes, in the order in which they are served within a team.
const (
	// Order is the class of requests that must not run twice.
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
	// Deadline is the latest useful start time. Zero means the time of the offer plus
	// Config.DefaultWait.
	Deadline time.Time
}

// Kind says what the caller of the queue has to do with the request.
type Kind uint8

// The kinds of verdict.
const (
	// Run means: send the request to an endpoint now. The request holds a slot until
	// Finish, FinishTruncated or Cancel.
	Run Kind = iota + 1
	// Refuse means: answer the request with a refusal now. The request was not run.
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

// Reasons of a verdict. SlotFree is the only reason to run a request. All others are reasons
// to refuse it.
const (
	// SlotFree: a slot was free and the request was the next to start.
	SlotFree Reason = iota + 1
	// TooLate: the predicted start is too late for the deadline.
	TooLate
	// DeadlinePassed: the deadline had already passed when the request was offered, or it
	// passed while the request waited.
	DeadlinePassed
	// QueueFull: the queue already holds Config.MaxWaiting waiting requests.
	QueueFull
	// NoCapacity: the service has no slots.
	NoCapacity
	// Stalled: the running requests have taken far longer than expected.
	Stalled
	// TeamRemoved: RemoveTeam was called while the request waited.
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

// Verdict is the queue's decision on one request, and the values on which the decision is
// based.
type Verdict struct {
	ID     uint64
	Team   string
	Class  Class
	Kind   Kind
	Reason Reason
	// RetryAfter is the time after which a retry of a refused request is expected to be
	// admitted. It is zero for Run, and if a retry does not help.
	RetryAfter time.Duration
	// Waited is the time from the offer to this verdict.
	Waited time.Duration
	// Predicted is a predicted wait. For Run it is the wait that was predicted at the
	// offer. For Refuse it is the further wait that was predicted at the refusal.
	Predicted time.Duration
	// QueueLength is the number of requests waiting after the verdict.
	QueueLength int
	// DrainRate is the node's drain rate, in expected tokens per second. Zero means
	// unknown.
	DrainRate float64
	// Slots is the number of slots that the node may use.
	Slots int
	// Silent is for how long the service has been silent, beyond SilenceAfter.
	Silent time.Duration
}

// Stats is the state of the queue for logs and metrics.
type Stats struct {
	Slots           int
	Running         int
	Waiting         int
	RunningLongJobs int     // number of running long jobs
	LongJobSlots    int     // number of slots that long jobs may hold
	DrainRate       float64 // drain rate in expected tokens per second
}

// Config configures a Queue. The zero value of a field selects its default.
type Config struct {
	// Slots is the number of requests that may run at the same time. With zero slots all
	// requests are refused until SetCapacity or SetShare is called.
	Slots int
	// MaxWaiting is the largest number of waiting requests. It bounds the memory of
	// the queue.
	MaxWaiting int
	// DefaultWait is the longest time that a request without a deadline may wait.
	DefaultWait time.Duration
	// LongCost is the expected cost, in tokens, at and above which a request that is not an
	// order is a long job.
	LongCost float64
	// SlotRate is the rate at which a slot is assumed to finish work until the rate is
	// measured, in expected tokens per second. Zero means unknown: no request is then
	// refused as too late before the first request has finished.
	SlotRate float64
	// MaxRetryAfter is the largest RetryAfter of a verdict.
	MaxRetryAfter time.Duration
}

const (
	defaultMaxWaitingRequests  = 20000
	defaultWaitWithoutDeadline = 30 * time.Second
	defaultLongCost            = 2048
	defaultMaxRetryAfter       = time.Minute

	// minRetryAfter is the smallest RetryAfter. It covers the time to send a refusal and then
	// a new request, so that no refused caller retries sooner than that.
	minRetryAfter = 100 * time.Millisecond
	// noCapacityRetryAfter is the RetryAfter while the service has no slots. No drain rate
	// is known then. New endpoints are detected within about a second.
	noCapacityRetryAfter = time.Second
	// stalledRetryAfter is the RetryAfter while the service is stalled. No drain rate is
	// known then. Stalled endpoints are replaced within seconds.
	stalledRetryAfter = 5 * time.Second
)

// TickInterval is the time between two reviews of the waiting requests. A waiting request
// that will miss its deadline is refused at most this time after the queue can predict the
// miss.
const TickInterval = 100 * time.Millisecond

// credit returns the most work, in tokens, that a team or a job length may catch up on
// after a time in which its requests could not start.
func (c Config) credit() float64 { return maxCreditJobs * c.LongCost }

func (c Config) withDefaults() Config {
	if c.MaxWaiting <= 0 {
		c.MaxWaiting = defaultMaxWaitingRequests
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
