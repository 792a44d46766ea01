package relay

import (
	"bytes"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against an answer that is made of the beginning of one replica's answer and that of another
// one: an answer that has begun is cut if its replica breaks off.
func TestAnswerThatHasBegunIsNotContinuedByAnotherReplica(t *testing.T) {
	const length, maxBuffer = 64 << 10, 8 << 10
	long := func(text string, bytesWritten int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			time.Sleep(50 * time.Millisecond) // until the other replica is known
			w.Header().Set("Content-Length", fmt.Sprint(length))
			_, _ = w.Write(bytes.Repeat([]byte(text), bytesWritten))
			if bytesWritten < length {
				panic(http.ErrAbortHandler)
			}
		}
	}
	p := newPlainRead(t, long("a", length/2), long("b", length))
	p.maxBuffer = maxBuffer
	p.request.Route.LatencyObjective = readTimeout // no silence takes part
	answer, cut := p.serve()
	if !cut || strings.Contains(answer.Body.String(), "b") {
		t.Errorf("the answer was cut: %t, it has %d bytes of the first replica and %d of the other", cut,
			strings.Count(answer.Body.String(), "a"), strings.Count(answer.Body.String(), "b"))
	}
}
