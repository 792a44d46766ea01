package stream

import (
	"context"
	"errors"
	"time"

	"github.com/cicadatack/cicadatack/state/engineapi"
	"github.com/zeebo/errs"
)

// Error is the class of every error of this package.
var Error = errs.Class("stream")

var (
	// ErrNoChain reports that no chain is left to try.
	ErrNoChain = errors.New("no chain to run on")
	// ErrAttemptsExhausted reports that all the epochs allowed have failed.
	ErrAttemptsExhausted = errors.New("every epoch allowed has failed")
	// ErrCallerGone reports that the caller has left.
	ErrCallerGone = errors.New("the caller has left")
	// ErrDeadline reports that the request's deadline has passed.
	ErrDeadline = errors.New("the deadline has passed")
)

// Chain is a replica of a model: engines that together hold all its layers.
type Chain struct {
	// Replica names the chain towards the Chooser.
	Replica string
	// Stages are the engines in the order of their layers.
	Stages []engineapi.Stage
	// PlacementVersion is the plan's version, which engines must report too.
	PlacementVersion int64
	// Artifact is what every stage must hold and run. An answer stays with that of
	// its first token.
	Artifact engineapi.Artifact
}

// Chooser picks the chain of each epoch and learns how it went. It is called
// from many goroutines.
type Chooser interface {
	// Choose returns a chain that is none of exclude, or an error if no
	// chain should be tried now; the stream then ends.
	Choose(ctx context.Context, exclude []string) (Chain, error)
	// Ended reports the end of an epoch, once for each chain chosen.
	Ended(chain Chain, result AttemptResult)
}

// Request is one answer to be made.
type Request struct {
	// StreamID is the stream's id, never used twice.
	StreamID string
	// Layers is how many layers the model has.
	Layers int
	// Chat is the caller's request; Chat.Pipeline is set by the Runner.
	Chat engineapi.ChatRequest
	// FirstTokenTimeout bounds the time from sending to a chain until its
	// first token, prefill included; zero means DefaultFirstTokenTimeout.
	FirstTokenTimeout time.Duration
	// MaxStallTimeout is the longest wait for a token that the adaptive bound may
	// grow to; zero means DefaultTokenStall.
	MaxStallTimeout time.Duration
	// Deadline ends the answer; zero means none.
	Deadline time.Time
	// Chooser, if set, takes the place of the Runner's for this answer: it can
	// know whose request it is and what its prompt begins with.
	Chooser Chooser
}

// Outcome is what became of a request.
type Outcome uint8

const (
	// OutcomeUnknown answers may have run in part.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun answers provably were not run by any engine.
	OutcomeNotRun
	// OutcomeDone answers were delivered whole.
	OutcomeDone
)

var outcomeNames = [...]string{"unknown", "not-run", "done"}

// String returns the outcome as it stands in Cicadatack-Outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// End says how an epoch ended.
type End uint8

const (
	// EndDone epochs brought the answer to its end.
	EndDone End = iota
	// EndCallerGone epochs were given up because the caller left.
	EndCallerGone
	// EndDeadline epochs ran into the request's deadline.
	EndDeadline
	// EndMismatch chains were not used: an engine does not hold what the
	// plan says, or could not be asked.
	EndMismatch
	// EndRefused chains refused before any work.
	EndRefused
	// EndUnreachable chains could not be connected to.
	EndUnreachable
	// EndNoFirstToken epochs brought no token within FirstTokenTimeout.
	EndNoFirstToken
	// EndStalled epochs stopped bringing tokens.
	EndStalled
	// EndConnectionLost epochs lost their connection, or a stage behind it.
	EndConnectionLost
	// EndInvalidToken epochs brought a token that Check refused.
	EndInvalidToken
	// EndSlow epochs were left for another chain because their tokens came
	// far slower than the chain's usual.
	EndSlow
)

var endNames = [...]string{
	"done", "caller gone", "deadline", "holding mismatch", "refused",
	"unreachable", "no first token", "stalled", "cut", "rejected", "slow",
}

// String returns the end in words.
func (e End) String() string { return endNames[e] }

// AttemptResult is what an epoch tells of its chain.
type AttemptResult struct {
	Epoch uint32
	End   End
	// NotRun is set if the chain provably did nothing.
	NotRun bool
	// Reason is set if End is EndRejected.
	Reason Reason
	// Unresponsive is set if End is EndNoFirstToken because the chain was not heard of,
	// long before the time of a first token was up.
	Unresponsive bool
	// Err is the error below, if there was one.
	Err error
	// Status is the HTTP status of a refusal, or zero.
	Status int
	// Tokens is how many tokens the epoch delivered.
	Tokens int
	// FirstToken is the time from sending to the first token, zero if none came.
	FirstToken time.Duration
	// MeanGap is the mean time between tokens, zero if fewer than two came.
	MeanGap time.Duration
	// Load is the report that closed the answer, or nil. Those that came with
	// tokens are old by then: a report says how old it was when it was sent, so one
	// of a minute ago would be taken for new.
	Load *engineapi.Load
	// Hops are the mean times of the stages and their outgoing links.
	Hops []Hop
}

// Hop is the mean time that a token spent on a stage and its outgoing link.
type Hop struct {
	Endpoint string
	Micros   float64
	// StepMicros is the engine's own report of the time of its layers, for who
	// knows it; zero if not known.
	StepMicros float64
}

// Recovery is one change of chain partway.
type Recovery struct {
	// Cause is how the epoch before ended, Reason why if it was rejected.
	Cause  End
	Reason Reason
	// DetectionTime is the time from the last token of the old chain, or its
	// start, until it was given up.
	DetectionTime time.Duration
	// ResumeTime is the time from then to the next token; zero if none came.
	ResumeTime time.Duration
	// Imported is set if the new chain was given exported KV cache.
	Imported bool
}

// Summary is what became of a request.
type Summary struct {
	Outcome Outcome
	// FinishReason is the engine's reason for the answer's end.
	FinishReason string
	// Tokens is how many tokens were delivered.
	Tokens int
	// Epochs is how many chains were tried.
	Epochs int
	// StrayTokens is how many late or foreign tokens were dropped.
	StrayTokens int
	// FirstToken is the time from Run to the first token.
	FirstToken time.Duration
	Recoveries []Recovery
	// LastResult is the result of the last epoch.
	LastResult AttemptResult
}

// Defaults of Request and Options.
const (
	DefaultFirstTokenTimeout = 10 * time.Second
	DefaultMaxStallTimeout   = 10 * time.Second
	// DefaultMinStallTimeout is well above the pauses of a busy but healthy chain
	// on a local network, and leaves room for the 300 ms aimed at.
	DefaultMinStallTimeout = 250 * time.Millisecond
	// DefaultMaxExecutions allows for chains that die together or twice.
	DefaultMaxExecutions = 4
	// DefaultMaxAttempts leaves room for chains that a new plan is just changing;
	// trying one that does nothing costs a round trip.
	DefaultMaxAttempts   = 8
	DefaultReportTTL     = 2 * time.Second
	DefaultReportTimeout = 300 * time.Millisecond
	DefaultMaxTokens     = 1 << 16
)

// Options are a Runner's settings; zero fields mean the defaults.
type Options struct {
	// MinStallTimeout is the least wait for a token before a chain is given up.
	MinStallTimeout time.Duration
	// MaxExecutions bounds the chains that may have worked on one request,
	// MaxAttempts those that were tried, the ones that did nothing included.
	MaxExecutions, MaxAttempts int
	// ReportTTL is how long an engine's matching report is trusted;
	// ReportTimeout bounds the wait for one.
	ReportTTL, ReportTimeout time.Duration
	// MaxTokens bounds an answer, and with it what is kept for a resumption.
	MaxTokens int
	// OnCacheLost, if set, is told when a stage of a replica reports another cache
	// than before: the chain then recomputes every prompt from that stage on.
	OnCacheLost func(model, replica string)
}

func (o Options) withDefaults() Options {
	o.MinStallTimeout = orDefault(o.MinStallTimeout, DefaultMinStallTimeout)
	o.MaxExecutions = orDefault(o.MaxExecutions, DefaultMaxExecutions)
	o.MaxAttempts = orDefault(o.MaxAttempts, DefaultMaxAttempts)
	o.ReportTTL = orDefault(o.ReportTTL, DefaultReportTTL)
	o.ReportTimeout = orDefault(o.ReportTimeout, DefaultReportTimeout)
	o.MaxTokens = orDefault(o.MaxTokens, DefaultMaxTokens)
	return o
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}
