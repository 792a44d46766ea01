package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/standin/replica"
	"github.com/cicadatack/cicadatack/standin/site"
	"github.com/cicadatack/cicadatack/state/httpanswer/answertest"
)

const (
	// uploads are sent at once, longer than the buffers of their connections hold.
	uploads     = 20
	uploadBytes = 8 << 20
)

// brokenHead returns a fault that answers with a head that is none, and its name.
func brokenHead(draw *rand.Rand) (name string, fault replica.Fault) {
	const stray = "id: 1\ndata: stray\n\n"
	names := slices.Sorted(maps.Keys(answertest.BrokenHeads(stray)))
	name = names[draw.IntN(len(names))]
	answer := func(id string, _ int) string {
		return answertest.BrokenHeads(stray, "Request-Id: "+id+"\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\n")[name]
	}
	return name, replica.Fault{Raw: answer, RawStream: &replica.RawStream{Wire: answer}}
}

// Guards against parts of answers that callers get as whole ones, and orders that run twice: replicas answer long
// uploads at once and reset their connections.
func TestUploadsThatAreAnsweredEarly(t *testing.T) {
	bin := build(t)
	r := newRun(t, bin, ciSeed, 1, 1)
	r.site.ConfigureEdited([]string{r.key}, `"maxBodyBytes":1000`, fmt.Sprintf(`"maxBodyBytes":%d`, uploadBytes))
	node := r.vms[0]
	node.start(t)
	r.awaitServed(t, order)
	for _, after := range []time.Duration{0, 30 * time.Millisecond} {
		for _, each := range r.site.Replicas() {
			each.SetFault(replica.Fault{Early: &replica.Early{ResetAfter: after, Answer: func(id string) string {
				return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Stamp: s\r\n\r\na part"
			}}})
		}
		var group sync.WaitGroup
		for i := range uploads {
			group.Go(func() {
				id := fmt.Sprint("upload-", after, "-", i)
				if status := r.upload(node, id); status != 0 && status < http.StatusInternalServerError {
					t.Errorf("%s: a part of an answer is a whole one of status %d\n%s", id, status, strings.Join(r.linesAbout(id), "\n"))
				}
				if runs := len(r.site.Fleet.Runs(id)); runs > 1 {
					t.Errorf("%s: the order ran %d times", id, runs)
				}
			})
		}
		group.Wait()
	}
	r.healReplicas()
	r.awaitServed(t, order)
}

// upload sends a long order. It returns the status, 0 for no whole answer.
func (r *run) upload(node *vm, id string) int {
	q, err := http.NewRequest(http.MethodPost, "http://"+node.at().Callers+order+"x", strings.NewReader(strings.Repeat("x", uploadBytes)))
	if err != nil {
		return 0
	}
	q.Host = site.Host
	return r.discardAnswer(q, id)
}
