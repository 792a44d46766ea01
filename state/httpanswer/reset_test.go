package httpanswer_test

import (
	"bufio"
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"testing/iotest"

	"github.com/cicadatack/cicadatack/state/httpanswer"
)

// Guards against a broken answer that is judged by who is told of its reset: the write of the request, or the read of
// the answer.
func TestResetsThatTheReadIsToldOf(t *testing.T) {
	const open, framed = "HTTP/1.1 503 x\r\n\r\na part", "HTTP/1.1 503 x\r\nContent-Length: 99\r\n\r\na part"
	for _, c := range []struct {
		name, answer string
		written      bool
		isFault      bool
	}{
		{"before the request is written", open, false, true},
		{"after it", open, true, false},
		{"in an answer of a stated length", framed, false, false},
	} {
		reader := io.MultiReader(strings.NewReader(c.answer), iotest.ErrReader(syscall.ECONNRESET))
		response, err := httpanswer.Read(bufio.NewReader(reader), http.MethodPost, func() bool { return c.written })
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadAll(response.Body); httpanswer.IsFault(err) != c.isFault || !c.isFault && !errors.Is(err, syscall.ECONNRESET) {
			t.Errorf("%s: %v", c.name, err)
		}
	}
}
