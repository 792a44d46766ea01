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
	// OtherArtifact tokens were made in part by other weights or another adapter
	// than the chain's.
	OtherArtifact
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

// Check decides which tokens of a stream may reach the caller. It is a pure
// state machine for one goroutine; it neither allocates nor blocks.
type Check struct {
	stream string
	layers int
	limit  int
	epoch  uint32
	next   int
	// artifact is what each span of the present epoch must have run. An engine that
	// ignores fencing numbers takes other weights in the middle of an answer, and
	// the caller would get half of it from each: the layers are complete and in
	// order, so nothing but the span's own word tells. An engine that lies about it
	// is not found.
	artifact engineapi.Artifact
}

// NewCheck returns the check of a stream of a model with the given number of
// layers, whose answer has at most limit tokens.
func NewCheck(stream string, layers, limit int) Check {
	return Check{stream: stream, layers: layers, limit: limit}
}

// Begin opens an epoch: from now on tokens of any other are refused. The next
// position stays, because the new chain resumes after the last token accepted.
func (c *Check) Begin(epoch uint32) { c.epoch = epoch }

// Require says what the epoch's tokens must be made by.
func (c *Check) Require(a engineapi.Artifact) { c.artifact = a }

// Next returns the position of the next token.
func (c *Check) Next() int { return c.next }

// Token judges a token, and moves to the next position if it is accepted.
func (c *Check) Token(t *engineapi.TokenTrace) Reason {
	if reason := c.place(t); reason != Accepted {
		return reason
	}
	if c.next >= c.limit {
		return TooLong
	}
	if reason := c.spans(t.Spans); reason != Accepted {
		return reason
	}
	c.next++
	return Accepted
}

// End judges the event that closes the answer: it must stand right behind the
// last token, or tokens were lost before it.
func (c *Check) End(t *engineapi.TokenTrace) Reason { return c.place(t) }

// place judges where a token says that it belongs.
func (c *Check) place(t *engineapi.TokenTrace) Reason {
	switch {
	case t.Stream != c.stream:
		return ForeignStream
	case t.Epoch < c.epoch:
		return OldEpoch
	case t.Epoch > c.epoch:
		return FutureEpoch
	case t.Position != c.next:
		return WrongPosition
	}
	return Accepted
}

// spans judges whether spans cover layers 0 to layers-1 once and in order.
func (c *Check) spans(spans []engineapi.Span) Reason {
	due := 0
	for i := range spans {
		s := &spans[i]
		switch {
		case s.First < 0 || s.Last < s.First || s.Last >= c.layers:
			return BadSpan
		case s.First > due:
			return SkippedLayer
		case s.First < due:
			return RepeatedLayer
		case s.Artifact != c.artifact:
			return OtherArtifact
		}
		due = s.Last + 1
	}
	if due != c.layers {
		return SkippedLayer
	}
	return Accepted
}
