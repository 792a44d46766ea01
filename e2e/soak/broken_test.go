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

const refusal = "503 Service Unavailable"

// brokenAnswers returns answers with a head that is none, and refusals with trailers that are none, by name.
func brokenAnswers(lines string) map[string]string {
	const stray = "id: 1\ndata: stray\n\n"
	broken := answertest.BrokenHeads(stray, lines)
	maps.Copy(broken, answertest.BrokenTrailers(refusal, stray, lines, "Not-Run: 1\r\n"))
	return broken
}

// brokenAnswer returns a fault that answers with one of brokenAnswers, and its name.
func brokenAnswer(draw *rand.Rand) (name string, fault replica.Fault) {
	names := slices.Sorted(maps.Keys(brokenAnswers("")))
	name = names[draw.IntN(len(names))]
	answer := func(id string, _ int) string {
		return brokenAnswers("Request-Id: " + id + "\r\nServer-Stamp: s\r\nContent-Type: text/event-stream\r\n")[name]
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
	for _, head := range []string{"200 OK\r\n", refusal + "\r\nNot-Run: 1\r\n"} {
		for _, after := range []time.Duration{0, 30 * time.Millisecond} {
			for _, each := range r.site.Replicas() {
				each.SetFault(replica.Fault{Early: &replica.Early{ResetAfter: after, Answer: func(id string) string {
					return "HTTP/1.1 " + head + "Request-Id: " + id + "\r\nServer-Stamp: s\r\n\r\na part"
				}}})
			}
			r.uploadAll(node, fmt.Sprintf("upload-%.3s-%v", head, after))
			r.healReplicas()
			r.awaitServed(t, order)
		}
	}
}

// uploadAll sends long orders at a time, whose answers are none. None of them may run twice.
func (r *run) uploadAll(node *vm, name string) {
	var group sync.WaitGroup
	for i := range uploads {
		group.Go(func() {
			id := fmt.Sprint(name, "-", i)
			if status := r.upload(node, id); status != 0 && status < http.StatusInternalServerError {
				r.t.Errorf("%s: a part of an answer is a whole one of status %d\n%s", id, status, strings.Join(r.linesAbout(id), "\n"))
			}
			if runs := len(r.site.Fleet.Runs(id)); runs > 1 {
				r.t.Errorf("%s: the order ran %d times", id, runs)
			}
		})
	}
	group.Wait()
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
