package stream

import "github.com/cicadatack/cicadatack/state/engineapi"

// Reason says why Check let a token through or not.
type Reason uint8

const (
	// Accepted tokens may be delivered.
	Accepted Reason = iota
	// ForeignStream tokens belong to another stream.
	ForeignStream
	// OldEpoch tokens come late, from a chain that was given up.
	OldEpoch
	// FutureEpoch tokens name an epoch that was never opened.
	FutureEpoch
	// WrongPosition tokens repeat a token or leave one out.
	WrongPosition
	// SkippedLayer tokens were made without some layer.
	SkippedLayer
	// RepeatedLayer tokens ran a layer twice or out of order.
	RepeatedLayer
	// BadSpan tokens name layers that the model does not have.
	BadSpan
	// TooLong tokens follow an answer that has reached its longest length.
	TooLong
	// WrongArtifact tokens were made in part by other weights or another adapter
	// than the chain's.
	WrongArtifact
)

var reasonNames = [...]string{
	"accepted", "foreign stream", "old epoch", "future epoch",
	"wrong position", "skipped layer", "repeated layer", "bad span", "too long",
	"other weights or adapter",
}

// String returns the reason in words.
func (r Reason) String() string { return reasonNames[r] }

// Stray reports whether the token belongs elsewhere, so that it is dropped and
// says nothing against the chain.
func (r Reason) Stray() bool { return r == ForeignStream || r == OldEpoch }

// TokenCheck decides which tokens of a stream may reach the caller. It is a pure
// state machine for one goroutine; it neither allocates nor blocks.
type TokenCheck struct {
	stream       string
	layers       int
	maxTokens    int
	epoch        uint32
	nextPosition int
	// artifact is what each span of the present epoch must have run. An engine that
	// ignores fencing numbers takes other weights in the middle of an answer, and
	// the caller would get half of it from each: the layers are complete and in
	// order, so nothing but the span's own word tells. An engine that lies about it
	// is not found.
	artifact engineapi.Artifact
}

// NewTokenCheck returns the check of a stream of a model with the given number of
// layers, whose answer has at most limit tokens.
func NewTokenCheck(stream string, layers, maxTokens int) TokenCheck {
	return TokenCheck{stream: stream, layers: layers, maxTokens: maxTokens}
}

// StartEpoch opens an epoch: from now on tokens of any other are refused. The next
// position stays, because the new chain resumes after the last token accepted.
func (c *TokenCheck) StartEpoch(epoch uint32) { c.epoch = epoch }

// RequireArtifact says what the epoch's tokens must be made by.
func (c *TokenCheck) RequireArtifact(a engineapi.Artifact) { c.artifact = a }

// NextPosition returns the position of the next token.
func (c *TokenCheck) NextPosition() int { return c.nextPosition }

// Verify judges a token, and moves to the next position if it is accepted.
func (c *TokenCheck) Verify(t *engineapi.TokenTrace) Reason {
	if reason := c.verifyPosition(t); reason != Accepted {
		return reason
	}
	if c.nextPosition >= c.maxTokens {
		return TooLong
	}
	if reason := c.verifySpans(t.Spans); reason != Accepted {
		return reason
	}
	c.nextPosition++
	return Accepted
}

// VerifyEnd judges the event that closes the answer: it must stand right behind the
// last token, or tokens were lost before it.
func (c *TokenCheck) VerifyEnd(t *engineapi.TokenTrace) Reason { return c.verifyPosition(t) }

// verifyPosition judges where a token says that it belongs.
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

// verifySpans judges whether verifySpans cover layers 0 to layers-1 once and in order.
func (c *TokenCheck) verifySpans(spans []engineapi.Span) Reason {
	expected := 0
	for i := range spans {
		s := &spans[i]
		switch {
		case s.First < 0 || s.Last < s.First || s.Last >= c.layers:
			return BadSpan
		case s.First > expected:
			return SkippedLayer
		case s.First < expected:
			return RepeatedLayer
		case s.Artifact != c.artifact:
			return WrongArtifact
		}
		expected = s.Last + 1
	}
	if expected != c.layers {
		return SkippedLayer
	}
	return Accepted
}
