package site

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/standin/replica"
)

// longUpload is a body that doesn't fit the buffers of a connection.
var longUpload = bytes.Repeat([]byte("some cream "), 1<<20)

// uploadNode returns a node that takes long uploads, which sends them to replicas itself or through another node.
func (p *platform) uploadNode(forwarded bool) *running {
	p.t.Helper()
	p.chains(strayEvents, time.Millisecond)
	p.ConfigureEdited([]string{goodKey}, `"maxBodyBytes":1000`, `"maxBodyBytes":16777216`)
	return p.strayNode(forwarded)
}

// earlyAnswer is the head of an answer without a length, and a part of its body.
func earlyAnswer(status, part string) func(id string) string {
	return func(id string) string {
		return "HTTP/1.1 " + status + "\r\nRequest-Id: " + id + "\r\nServer-Stamp: s\r\nConnection: close\r\n\r\n" + part
	}
}

// Guards against a part of an answer that callers get as a whole one: a replica answers a long upload at once and
// resets the connection while the upload is still being written.
func TestAnswersThatAreResetDuringTheUploadReachNoCaller(t *testing.T) {
	for _, forwarded := range []bool{false, true} {
		t.Run(fmt.Sprintf("forwarded %v", forwarded), func(t *testing.T) {
			t.Parallel()
			p := newPlatform(t)
			node := p.uploadNode(forwarded)
			for n, status := range []string{"200 OK", "404 Not Found"} {
				for _, after := range []time.Duration{0, 30 * time.Millisecond} {
					p.setFaults(replica.Fault{Early: &replica.Early{Answer: earlyAnswer(status, "a part"), ResetAfter: after}})
					for i := range 6 {
						id := fmt.Sprintf("upload-%d-%d-%d", n, after, i)
						if got := node.upload(http.MethodPost, "/order/1", id, goodKey, bytes.NewReader(longUpload)); got.status < http.StatusInternalServerError && got.err == nil {
							t.Errorf("%s, reset after %v: %d %q\n%s", status, after, got.status, got.body, p.linesAbout(id))
						}
						if runs := len(p.Fleet.Runs(id)); runs > 1 {
							t.Errorf("%s: the order ran %d times", id, runs)
						}
					}
				}
			}
			if !strings.Contains(p.log(), `"reason":"request_unwritten"`) {
				t.Error("no line of the log tells of it")
			}
			p.until("the metrics have it", func() bool {
				return strings.Contains(get(t, "http://"+node.settings.Control.String()+"/metrics").body, `unsound_answers_total{`) || forwarded
			})
		})
	}
}

// Guards against such parts that are longer than a node buffers, so that they are passed on as they come, and against
// reads that end at one.
func TestLongAnswersThatAreResetDuringTheUploadAreCut(t *testing.T) {
	for _, forwarded := range []bool{false, true} {
		t.Run(fmt.Sprintf("forwarded %v", forwarded), func(t *testing.T) {
			t.Parallel()
			p := newPlatform(t)
			node := p.uploadNode(forwarded)
			p.setFaults(replica.Fault{Early: &replica.Early{Answer: earlyAnswer("200 OK", longAnswer), ResetAfter: 200 * time.Millisecond}})
			for i := range 6 {
				for _, path := range []string{"/order/1", "/read/1"} {
					id := fmt.Sprintf("long%s-%d", strings.ReplaceAll(path, "/", "-"), i)
					got := node.upload(http.MethodPost, path, id, goodKey, bytes.NewReader(longUpload))
					if got.status < http.StatusInternalServerError && got.err == nil {
						t.Errorf("%s: %d with %d bytes\n%s", id, got.status, len(got.body), p.linesAbout(id))
					}
				}
			}
		})
	}
}

// Guards against an order that another replica runs as well: a refusal says that it has not run, and is reset during the
// upload.
func TestRefusalsThatAreResetDuringTheUploadProveNothing(t *testing.T) {
	for _, forwarded := range []bool{false, true} {
		t.Run(fmt.Sprintf("forwarded %v", forwarded), func(t *testing.T) {
			t.Parallel()
			p := newPlatform(t)
			node := p.uploadNode(forwarded)
			p.setFaults(replica.Fault{Early: &replica.Early{ResetAfter: 30 * time.Millisecond, Answer: func(id string) string {
				return "HTTP/1.1 " + refusalStatus + "\r\n" + refusalLines(id) + "Connection: close\r\n\r\na part"
			}}})
			for i := range 6 {
				id := fmt.Sprint("refused-", i)
				got := node.upload(http.MethodPost, "/order/1", id, goodKey, bytes.NewReader(longUpload))
				isUnknown := got.status == http.StatusBadGateway || got.status == http.StatusGatewayTimeout
				if runs := len(p.Fleet.Runs(id)); !isUnknown && got.err == nil || runs > 1 {
					t.Errorf("%s: %d %.200q after %d runs\n%s", id, got.status, got.body, runs, p.linesAbout(id))
				}
			}
		})
	}
}

// Guards against streams that end at a part of an answer, and that no other replica goes on with.
func TestStreamsAreResetDuringTheUpload(t *testing.T) {
	p := newPlatform(t)
	node := p.uploadNode(false)
	for i := range 6 {
		id := fmt.Sprint("stream-", i)
		p.setFaults(replica.Fault{Early: &replica.Early{Once: true, Answer: func(id string) string {
			return rawHead(id) + "\r\n" + replica.EventsBetween(id, 0, 3)
		}}})
		got := node.upload(http.MethodPost, "/ask/x", id, goodKey, bytes.NewReader(longUpload))
		if err := wholeStream(got.body, id, strayEvents); err != nil || got.err != nil {
			t.Errorf("%s: %d, %v, %v\n%s", id, got.status, err, got.err, p.linesAbout(id))
		}
	}
}
