package stream

import "github.com/cicadatack/cicadatack/state/engineapi"

// Reason says why TokenCheck accepted or rejected a token.
type Reason uint8

const (
	// Accepted tokens may be delivered.
	Accepted Reason = iota
	// ForeignStream tokens belong to another stream.
	ForeignStream
	// OldEpoch tokens come from an earlier epoch of the stream.
	OldEpoch
	// FutureEpoch tokens name an epoch that was never started.
	FutureEpoch
	// WrongPosition tokens have another position than the next one.
	WrongPosition
	// SkippedLayer tokens have a span that starts after the next expected layer, or spans
	// that end before the model's last layer.
	SkippedLayer
	// RepeatedLayer tokens have a span that starts before the next expected layer.
	RepeatedLayer
	// BadSpan tokens have a span with a layer that the model does not have, or whose last
	// layer comes before its first.
	BadSpan
	// AnswerTooLong tokens come after the answer has reached its maximum number of tokens.
	AnswerTooLong
	// WrongArtifact tokens were computed, on at least one stage, with other weights
	// or another adapter than the chain's.
	WrongArtifact
	// StrayBytes are bytes that break the contract of an answer (engineclient.Violation).
	StrayBytes
	// AfterEnd tokens come behind the closing event of their epoch.
	AfterEnd
)

var reasonNames = [...]string{
	"accepted", "foreign stream", "old epoch", "future epoch",
	"wrong position", "skipped layer", "repeated layer", "bad span", "too long",
	"other weights or adapter", "stray bytes", "after the end",
}

// String returns the text used in metrics and logs.
func (r Reason) String() string { return reasonNames[r] }

// Stray reports whether the token belongs to another stream or an earlier epoch. Such a
// token is dropped and does not count as a fault of the chain.
func (r Reason) Stray() bool { return r == ForeignStream || r == OldEpoch }

// TokenCheck decides which tokens of a stream may reach the caller. A TokenCheck is for use by one
// goroutine, and neither allocates memory nor blocks.
type TokenCheck struct {
	stream       string
	layers       int
	maxTokens    int
	epoch        uint32
	nextPosition int
	// artifact is the artifact that each span of the current epoch must report.
	// Without this check an answer could mix two versions of the weights: an engine
	// that ignores fencing numbers may load other weights in the middle of an answer.
	// The spans still cover every layer in order, so only their artifact shows the
	// change. An engine that reports a false artifact is not detected.
	artifact engineapi.Artifact
}

// NewTokenCheck returns the check for one stream. layers is the model's number of
// layers, maxTokens the maximum number of tokens of the answer.
func NewTokenCheck(stream string, layers, maxTokens int) TokenCheck {
	return TokenCheck{stream: stream, layers: layers, maxTokens: maxTokens}
}

// StartEpoch sets the epoch whose tokens are accepted. The next position does not
// change, because the new chain resumes after the last accepted token.
func (c *TokenCheck) StartEpoch(epoch uint32) { c.epoch = epoch }

// RequireArtifact sets the artifact that the epoch's spans must report.
func (c *TokenCheck) RequireArtifact(a engineapi.Artifact) { c.artifact = a }

// NextPosition returns the position of the next token.
func (c *TokenCheck) NextPosition() int { return c.nextPosition }

// Verify checks a token and advances to the next position if it is accepted.
func (c *TokenCheck) Verify(t *engineapi.TokenTrace) Reason {
	if reason := c.verifyPosition(t); reason != Accepted {
		return reason
	}
	if c.nextPosition >= c.maxTokens {
		return AnswerTooLong
	}
	if reason := c.verifySpans(t.Spans); reason != Accepted {
		return reason
	}
	c.nextPosition++
	return Accepted
}

// VerifyEnd checks the event that closes the answer. The event's position must be the one after
// the last accepted token. A higher position means that tokens were lost.
func (c *TokenCheck) VerifyEnd(t *engineapi.TokenTrace) Reason { return c.verifyPosition(t) }

// verifyPosition checks a token's stream, epoch and position.
func (c *TokenCheck) verifyPosition(t *engineapi.TokenTrace) Reason {
	switch {
	case t.Stream != c.stream:
		return ForeignStream
	case t.Epoch < c.epoch:
		return OldEpoch
	case t.Epoch > c.epoch:
		return FutureEpoch
	case t.Position != c.nextPosition:
		return WrongPosition
	}
	return Accepted
}

// verifySpans checks that spans cover layers 0 to layers-1 once and in order.
func (c *TokenCheck) verifySpans(spans []engineapi.Span) Reason {
	nextLayer := 0
	for i := range spans {
		s := &spans[i]
		switch {
		case s.First < 0 || s.Last < s.First || s.Last >= c.layers:
			return BadSpan
		case s.First > nextLayer:
			return SkippedLayer
		case s.First < nextLayer:
			return RepeatedLayer
		case s.Artifact != c.artifact:
			return WrongArtifact
		}
		nextLayer = s.Last + 1
	}
	if nextLayer != c.layers {
		return SkippedLayer
	}
	return Accepted
}
