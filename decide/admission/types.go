package admission

import "time"

// Class says how much a request's start matters. Lower classes go first.
type Class uint8

// The classes, in the order in which they are served within a team.
const (
	Order Class = iota
	Interactive
	Batch
	classCount = 3
)

// String returns the class as it stands in logs.
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

// Request is what the queue needs to know of a call.
type Request struct {
	// ID is unique among the requests that the queue knows.
	ID   uint64
	Team string
	// Class beyond Batch counts as Batch.
	Class Class
	// Cost is the expected cost in tokens. Less than one counts as one.
	Cost float64
	// Deadline is the latest useful start. Zero means Config.DefaultWait
	// after the offer.
	Deadline time.Time
}

// Kind says what the caller of the queue has to do.
type Kind uint8

// The kinds of verdict.
const (
	// Run means: send the request to an endpoint now; it holds a slot until
	// Finish or Abandon.
	Run Kind = iota + 1
	// Refuse means: answer the caller now; the request was not run.
	Refuse
)

// String returns the kind as it stands in logs.
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
	// SlotFree: a slot was free and the request was next.
	SlotFree Reason = iota + 1
	// TooLate: the predicted start is after the deadline.
	TooLate
	// DeadlinePassed: the deadline has passed while the request waited.
	DeadlinePassed
	// QueueFull: Config.MaxWaiting requests wait.
	QueueFull
	// NoCapacity: the service has no slots.
	NoCapacity
	// Stalled: the requests that run take far longer than foreseen.
	Stalled
	// TeamRemoved: the team has been taken out of the environment.
	TeamRemoved
	// DuplicateID: a request with this ID waits or runs. The verdict concerns
	// the second offer only.
	DuplicateID
)

// String returns the reason as it stands in logs and answers.
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

// Verdict is the queue's decision on one request, with the figures behind it.
type Verdict struct {
	ID     uint64
	Team   string
	Class  Class
	Kind   Kind
	Reason Reason
	// RetryAfter says when a refused caller is expected to find room. Zero
	// for Run and where coming back does not help.
	RetryAfter time.Duration
	// Waited is the time from the offer to this verdict.
	Waited time.Duration
	// Predicted is the wait that was foreseen: for Run at the offer, for Refuse
	// at the verdict.
	Predicted time.Duration
	// QueueLength is the number of requests waiting after the verdict.
	QueueLength int
	// DrainRate is in expected tokens per second; zero if not yet measured.
	DrainRate float64
}

// Stats are the queue's figures for logs and metrics.
type Stats struct {
	Slots     int
	Running   int
	Waiting   int
	LongRun   int     // running long jobs
	LongRoom  int     // slots that long jobs may hold
	DrainRate float64 // expected tokens per second
}

// Config sets up a Queue. The zero value of each field means its default.
type Config struct {
	// Slots is the number of requests that may run at a time; zero until
	// SetCapacity.
	Slots int
	// MaxWaiting bounds the queue's memory.
	MaxWaiting int
	// DefaultWait is the longest wait of a request without a deadline.
	DefaultWait time.Duration
	// LongCost is the expected cost in tokens from which a job is long.
	LongCost float64
	// SlotRate is the assumed expected tokens per second of a slot until
	// measured.
	// Zero means unknown: nothing is refused as too late before the first
	// requests have finished.
	SlotRate float64
	// MaxRetryAfter bounds what a refused caller is told.
	MaxRetryAfter time.Duration
}

const (
	defaultMaxWaiting    = 20000
	defaultWait          = 30 * time.Second
	defaultLongCost      = 2048
	defaultMaxRetryAfter = time.Minute

	// minRetryAfter keeps a refused caller from coming back within the time
	// that a refusal and a new call take together.
	minRetryAfter = 100 * time.Millisecond
	// noCapacityRetry is told while the service has no slots: no drain rate
	// exists then, and newcomers are seen within about a second.
	noCapacityRetry = time.Second
	// stalledRetry is told while the service is stalled: no drain rate exists
	// then either, and endpoints are replaced within seconds.
	stalledRetry = 5 * time.Second
)

// TickInterval is the longest time until a waiting request that will miss its
// deadline is noticed.
const TickInterval = 100 * time.Millisecond

// credit is the most that a team or length may be owed, in tokens.
func (c Config) credit() float64 { return creditJobs * c.LongCost }

func (c Config) withDefaults() Config {
	if c.MaxWaiting <= 0 {
		c.MaxWaiting = defaultMaxWaiting
	}
	if c.DefaultWait <= 0 {
		c.DefaultWait = defaultWait
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
