package modelservice

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"time"

	"github.com/cicadatack/cicadatack/decide/poison"
	"github.com/cicadatack/cicadatack/route/crashguard"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/route/stream"
	"github.com/cicadatack/cicadatack/state/engineapi"
)

const (
	// partBytes of a message's hash identify it.
	partBytes = 8
	// maxParts bounds the messages of a conversation that are parts: the last ones.
	maxParts = 64
	// probeTimeout bounds the probes after a chain has broken off.
	probeTimeout = 100 * time.Millisecond
)

// promptContents are what a call brings along: the messages that others may share, which are all but
// the last one; and, as its own, the last message and the whole conversation.
func promptContents(messages []engineapi.Message) crashguard.Contents {
	if len(messages) == 0 {
		return crashguard.Contents{}
	}
	last := len(messages) - 1
	return crashguard.Contents{
		Parts: messageIDs(messages[max(0, last-maxParts):last]),
		Own:   []string{messageIDs(messages[last:])[0], conversationID(messages)},
	}
}

func messageIDs(messages []engineapi.Message) []string {
	var ids []string
	for _, m := range messages {
		sum := sha256.Sum256([]byte(m.Role + "\x00" + m.Content))
		ids = append(ids, hex.EncodeToString(sum[:partBytes]))
	}
	return ids
}

func conversationID(messages []engineapi.Message) string {
	hash := sha256.New()
	for _, id := range messageIDs(messages) {
		hash.Write([]byte(id))
	}
	return hex.EncodeToString(hash.Sum(nil)[:partBytes])
}

// guardedReplica is a chain as the guard knows it. The incarnations of engines are not known.
func guardedReplica(chain stream.Chain) crashguard.Replica {
	r := crashguard.Replica{ID: chain.Replica, Version: chain.Artifact.Weights}
	for _, stage := range chain.Stages {
		r.Addresses = append(r.Addresses, stage.Address)
	}
	return r
}

// refuseGuarded returns the refusal of a call that must not be sent to a replica because of a part
// of its prompt.
func refuseGuarded(refusal *crashguard.Refusal, callOutcome outcome.Outcome) *outcome.Refusal {
	r := &outcome.Refusal{Status: http.StatusServiceUnavailable, Code: "suspect_part", Message: refusal.Error(), Outcome: callOutcome, RetryAfter: refusal.RetryAfter}
	if refusal.Verdict == poison.Isolated {
		r.Code = "isolated_part"
	}
	return r
}

// checkGuard refuses a call at once if it must not be sent to any replica.
func (m *modelCall) checkGuard() *outcome.Refusal {
	var refusal *crashguard.Refusal
	if errors.As(m.guarded.Check(), &refusal) {
		return refuseGuarded(refusal, outcome.NotRun)
	}
	return nil
}

// beginGuarded asks the guard for an attempt. After a crash, a call whose prompt may be the cause
// gets none.
func (c *chainChooser) beginGuarded(ctx context.Context) error {
	if refusal := c.call.guarded.HoldBack(ctx); refusal != nil {
		return refusal
	}
	return c.call.guarded.Begin(ctx)
}

// observeEnd tells the guard how an epoch ended.
func (c *chainChooser) observeEnd(r stream.AttemptResult) {
	switch r.End {
	case stream.EndDone:
		c.call.guarded.Answered()
	case stream.EndConnectionLost:
		ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
		defer cancel()
		c.call.guarded.BrokenOff(ctx)
	}
	c.call.guarded.End()
}
