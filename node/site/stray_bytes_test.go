package site

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/standin/replica"
)

// strayEvents is the length of the streams of these tests.
const strayEvents = 6

// Guards against bytes of a faulty replica that reach callers as parts of a stream, and against
// streams that they end as complete, or begin anew.
func TestStrayBytesAreNoPartOfAStream(t *testing.T) {
	for _, unframed := range []bool{false, true} {
		for _, breakOff := range []bool{false, true} {
			t.Run(fmt.Sprintf("unframed %v, breaks off %v", unframed, breakOff), func(t *testing.T) {
				t.Parallel()
				p := newPlatform(t)
				p.chains(strayEvents, time.Millisecond)
				settings := p.settings("front-1")
				settings.Bounds.RetryRatio = 2 // each stream is resumed
				node := p.node(settings)
				for _, form := range replica.StrayForms {
					for _, after := range []int{0, 3, strayEvents} {
						p.playStray(node, form, replica.Fault{
							Unframed: unframed,
							Stray:    replica.Stray{Bytes: form.Bytes(after), After: after, BreakOff: breakOff, Once: true},
						})
					}
				}
			})
		}
	}
}

// Guards against stray bytes that are passed on, or end an answer as complete, where the stream can't be
// resumed.
func TestStrayBytesCutAStreamThatCannotBeResumed(t *testing.T) {
	p := newPlatform(t)
	p.chains(strayEvents, time.Millisecond)
	p.ConfigureEdited([]string{goodKey}, `"resumable":true`, `"resumable":false`)
	node := p.node(p.settings("front-1"))
	for _, unframed := range []bool{false, true} {
		for _, form := range replica.StrayForms {
			for _, after := range []int{0, 3, strayEvents} {
				id := fmt.Sprintf("%s-%d-%v", strings.ReplaceAll(form.Name, " ", "-"), after, unframed)
				p.setFaults(replica.Fault{Unframed: unframed, Stray: replica.Stray{Bytes: form.Bytes(after), After: after}})
				got := node.ask("POST", "/ask/x", id, goodKey)
				refused := after == 0 && got.status == http.StatusBadGateway
				cut := after > 0 && got.status == http.StatusOK && got.err != nil && wholeStream(got.body, id, after) == nil
				whole := after == strayEvents && got.err == nil && wholeStream(got.body, id, strayEvents) == nil // white space at the end
				if !refused && !cut && !whole {
					t.Errorf("%s after event %d: %d, %v, %q", form.Name, after, got.status, got.err, got.body)
				}
			}
		}
	}
}

// Guards against stray bytes that reach callers through two nodes.
func TestStrayBytesAreNoPartOfAForwardedStream(t *testing.T) {
	p := newPlatform(t)
	p.chains(strayEvents, time.Millisecond)
	settings := p.settings("front-2")
	settings.Bounds.RetryRatio = 2
	p.helperOn(settings)
	node, _ := p.cutOffNode("front-1")
	p.awaitHelpers(node, 1)
	for _, form := range replica.StrayForms {
		for _, after := range []int{0, 3, strayEvents} {
			p.playStray(node, form, replica.Fault{Stray: replica.Stray{Bytes: form.Bytes(after), After: after, Once: true}})
		}
	}
}

func (p *platform) setFaults(fault replica.Fault) {
	for _, r := range p.Replicas() {
		r.SetFault(fault)
	}
}

// playStray lets replicas send stray bytes, and checks that the caller gets the whole stream.
func (p *platform) playStray(node *running, form replica.StrayForm, fault replica.Fault) {
	p.t.Helper()
	p.setFaults(fault)
	id := fmt.Sprintf("%s-%d", strings.ReplaceAll(form.Name, " ", "-"), fault.Stray.After)
	got := node.ask("POST", "/ask/x", id, goodKey)
	if err := wholeStream(got.body, id, strayEvents); got.status != http.StatusOK || got.err != nil || err != nil {
		p.t.Errorf("%s after event %d: %d, %v, %v", form.Name, fault.Stray.After, got.status, got.err, err)
	}
}
