package stream

import (
	"context"
	"errors"
	"time"

	"github.com/cicadatack/cicadatack/route/engineclient"
	"github.com/cicadatack/cicadatack/route/headers"
	"github.com/cicadatack/cicadatack/state/engineapi"
	"github.com/zeebo/errs"
)

// Error is the class of every error of this package.
var Error = errs.Class("stream")

var (
	// ErrNoChain reports that the Chooser returned no chain.
	ErrNoChain = errors.New("no chain available")
	// ErrAttemptsExhausted reports that MaxExecutions or MaxAttempts was reached.
	ErrAttemptsExhausted = errors.New("all allowed attempts failed")
	// ErrCallerGone reports that the caller disconnected.
	ErrCallerGone = errors.New("caller disconnected")
	// ErrDeadline reports that the request's deadline passed.
	ErrDeadline = errors.New("request deadline exceeded")
)

// Chain is a replica of a model: engines that together hold all its layers.
type Chain struct {
	// Replica is the replica's name, by which Chooser.Choose excludes chains.
	Replica string
	// Stages are the engines in the order of their layers.
	Stages []engineapi.Stage
	// PlacementVersion is the plan's version, which every engine must report.
	PlacementVersion int64
	// Artifact is the weights and adapter that every stage must hold and run. All
	// tokens of an answer must come from the same artifact.
	Artifact engineapi.Artifact
}

// Chooser picks the chain of each epoch and receives the epoch's result. A Chooser is
// called from many goroutines.
type Chooser interface {
	// Choose returns a chain whose replica is not in excludedReplicas. An error ends the
	// stream, because no other chain should be tried. If the stream only looks for a
	// replacement of a slow chain, an error leaves the stream on the slow chain.
	Choose(ctx context.Context, excludedReplicas []string) (Chain, error)
	// Ended receives the result of an epoch on chain. Ended is called once for each chain
	// that Choose returned.
	Ended(chain Chain, result AttemptResult)
}

// RetryReserver is implemented by choosers that limit retries. ReserveRetry reports whether
// the answer may leave a silent chain, and reserves the retry that Choose then uses. It is
// called from another goroutine than the other methods, while an epoch runs.
type RetryReserver interface {
	ReserveRetry() bool
}

// Request is one answer to be generated.
type Request struct {
	// StreamID identifies the stream and is never reused.
	StreamID string
	// Layers is how many layers the model has.
	Layers int
	// Chat is the caller's request. The Runner sets Chat.Pipeline.
	Chat engineapi.ChatRequest
	// FirstTokenTimeout bounds the time from sending the request to a chain until the
	// chain's first token, prefill included. Zero means DefaultFirstTokenTimeout.
	FirstTokenTimeout time.Duration
	// MaxStallTimeout is the upper bound of the adaptive stall timeout. Zero means
	// DefaultMaxStallTimeout.
	MaxStallTimeout time.Duration
	// Deadline is the time at which the answer is ended. Zero means no deadline.
	Deadline time.Time
	// Chooser, if set, replaces the Runner's Chooser for this answer. This Chooser can use
	// the request's team and prompt prefix for its choice.
	Chooser Chooser
}

// Outcome is the outcome of a request.
type Outcome uint8

const (
	// OutcomeUnknown requests may have been run in part by an engine.
	OutcomeUnknown Outcome = iota
	// OutcomeNotRun requests provably were not run by any engine.
	OutcomeNotRun
	// OutcomeDone requests were answered completely.
	OutcomeDone
)

var outcomeNames = [...]string{"unknown", "not-run", "done"}

// String returns the value of the header Cicadatack-Outcome.
func (o Outcome) String() string { return outcomeNames[o] }

// End says how an epoch ended.
type End uint8

const (
	// EndDone epochs completed the answer.
	EndDone End = iota
	// EndCallerGone epochs were cancelled because the caller disconnected.
	EndCallerGone
	// EndDeadline epochs exceeded the request's deadline.
	EndDeadline
	// EndMismatch epochs sent nothing to the chain. An engine does not hold what the plan
	// says or returned no engine report, or the chain's stages do not cover the model's
	// layers, or the chain's artifact differs from that of the delivered tokens.
	EndMismatch
	// EndRefused epochs ended when an engine refused the request before any work.
	EndRefused
	// EndUnreachable epochs could not connect to the first stage.
	EndUnreachable
	// EndNoFirstToken epochs produced no token within FirstTokenTimeout, or their
	// chain became unresponsive before the first token.
	EndNoFirstToken
	// EndStalled epochs produced at least one token, and then none within the stall
	// timeout.
	EndStalled
	// EndConnectionLost epochs failed when an engine may have done work, without a
	// timeout or a rejected token. For example, the connection to the first stage was
	// lost, the first stage closed the stream because a later stage failed, or the closing
	// event is missing.
	EndConnectionLost
	// EndInvalidToken epochs produced a token that TokenCheck rejected, or bytes that are no part of the
	// answer.
	EndInvalidToken
	// EndSlow epochs were ended because their token gaps were far above the
	// baseline gap. The answer continues on another chain.
	EndSlow
)

var endNames = [...]string{
	"done", "caller gone", "deadline", "holding mismatch", "refused",
	"unreachable", "no first token", "stalled", "cut", "rejected", "slow",
}

// String returns the text used in metrics and decision logs.
func (e End) String() string { return endNames[e] }

// AttemptResult is the result of an epoch, as reported to the Chooser.
type AttemptResult struct {
	Epoch uint32
	End   End
	// NotRun is set if the chain provably did no work.
	NotRun bool
	// Reason is what was rejected, if End is EndInvalidToken. Err then has the bytes, if they were no
	// token.
	Reason Reason
	// Unresponsive is set if End is EndNoFirstToken because the chain became
	// unresponsive, not because FirstTokenTimeout passed.
	Unresponsive bool
	// Silent is set if the epoch ended because the chain sent nothing in time: no engine
	// report, no connection, no first token or no next token. The chain may be sound, so
	// its silence alone must not end the answer.
	Silent bool
	// Err is the underlying error, or nil.
	Err error
	// Status is the HTTP status of a refusal, or zero.
	Status int
	// Pushback is how long the first engine wants no further requests, as its refusal states.
	Pushback headers.Pushback
	// Tokens is how many tokens the epoch delivered.
	Tokens int
	// StrayTokens is how many tokens of earlier epochs or other streams the chain sent.
	StrayTokens int
	// Violations is how often the chain broke the contract of an answer. Violation is the first time, or
	// nil.
	Violations int
	Violation  *engineclient.Violation
	// FirstToken is the time from sending the request to the epoch's first token, or
	// zero without a token.
	FirstToken time.Duration
	// MeanGap is the moving average of the chain's token gaps, or zero if the epoch
	// delivered fewer than two tokens.
	MeanGap time.Duration
	// Load is the load report in the answer's closing event, or nil. Load reports in
	// earlier events are not kept, because AgeMillis is the age of a load report when it
	// was sent. At the epoch's end, a load report that was sent a minute before would be
	// taken for a new one.
	Load *engineapi.Load
	// Hops are the mean times that a token spent on each stage and its outgoing link.
	Hops []Hop
}

// Hop is the mean time that a token spent on a stage and its outgoing link.
type Hop struct {
	Endpoint   string
	MeanMicros float64
	// StepMicros is the time to compute the stage's layers for a token, without the
	// link, as the engine reports it, or zero if unknown. The Chooser sets
	// StepMicros.
	StepMicros float64
}

// Recovery is one change of chain during an answer.
type Recovery struct {
	// Cause is how the previous epoch ended. Reason is why TokenCheck rejected a
	// token of that epoch, if Cause is EndInvalidToken.
	Cause  End
	Reason Reason
	// DetectionTime is the time from the old chain's last token until the failure was
	// detected. If the old chain sent no token, the time counts from the start of its
	// epoch.
	DetectionTime time.Duration
	// ResumeTime is the time from the detection to the next delivered token, or zero
	// if no token was delivered after it.
	ResumeTime time.Duration
	// Imported is set if the new chain imported the KV cache that the old chain had
	// exported.
	Imported bool
}

// Summary is the result of a request.
type Summary struct {
	Outcome Outcome
	// FinishReason is the engine's finish_reason.
	FinishReason string
	// Tokens is how many tokens were delivered.
	Tokens int
	// Epochs is the number of epochs, including those that ended before the request was
	// sent to the chain.
	Epochs int
	// StrayTokens is the number of dropped tokens, which belonged to earlier epochs or
	// to other streams.
	StrayTokens int
	// Dropped is how many tokens were dropped or rejected, by reason, or nil. Bytes that are no token
	// count as one.
	Dropped map[Reason]int
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
	// DefaultMinStallTimeout is well above the token gaps of a busy but healthy chain
	// on a local network, and below the target of 300 ms for detecting a stall.
	DefaultMinStallTimeout = 250 * time.Millisecond
	// DefaultMaxExecutions lets an answer survive the failure of several chains, at the
	// same time or one after the other.
	DefaultMaxExecutions = 4
	// DefaultMaxAttempts is higher than DefaultMaxExecutions, because during the
	// rollout of a new plan many chains do not match their plan. An attempt on such a
	// chain runs nothing and costs one round trip.
	DefaultMaxAttempts   = 8
	DefaultReportTTL     = 2 * time.Second
	DefaultReportTimeout = 300 * time.Millisecond
	DefaultMaxTokens     = 1 << 16
)

// Options are a Runner's settings. Zero fields mean the defaults.
type Options struct {
	// MinStallTimeout is the lower bound of the adaptive stall timeout, and of the
	// time without a probe reply after which a chain counts as unresponsive.
	MinStallTimeout time.Duration
	// MaxExecutions bounds the number of chains that may have run part of a request.
	// MaxAttempts bounds the number of chains tried, including those that provably ran
	// nothing. Chains that ran nothing and were silent are not counted. An answer whose
	// last allowed chain is silent stays on this chain.
	MaxExecutions, MaxAttempts int
	// ReportTTL is how long an engine report that matches the plan is cached.
	// ReportTimeout bounds the call that fetches an engine report.
	ReportTTL, ReportTimeout time.Duration
	// MaxTokens is the maximum number of tokens of an answer. The tokens are kept in
	// memory, because a resume sends them to the next chain.
	MaxTokens int
	// OnCacheLost, if set, is called when a stage of a replica reports the ID of a
	// different prefix cache than before. The stage has then lost its part of every
	// cached prompt, and the chain recomputes prompts from that stage on.
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
