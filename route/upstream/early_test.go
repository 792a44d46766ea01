package upstream

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/state/httpanswer/answertest"
)

// uploadBytes don't fit the buffers of a connection.
const uploadBytes = 16 << 20

func upload(pool *Pool, address string) (body string, err error) {
	e, err := pool.Send(context.Background(), Request{
		Address: address, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{},
		Body: make([]byte, uploadBytes), NewConn: true, HeadTimeout: 5 * time.Second,
	})
	if err != nil {
		return "", err
	}
	defer e.Close()
	data, err := e.ReadAll(1<<20, 5*time.Second)
	return string(data), err
}

// Guards against a part of an answer without a length that looks whole: its endpoint resets the connection while
// a long request is still being written.
func TestAnswersThatEndDuringTheUploadAreNotWhole(t *testing.T) {
	const head, tries = "HTTP/1.1 200 OK\r\n", 20
	pool := New(time.Now)
	defer pool.Close()
	for name, end := range map[string]answertest.End{
		"reset at once": answertest.Reset(0), "reset later": answertest.Reset(30 * time.Millisecond), "closed unread": answertest.CloseUnread,
	} {
		address := answertest.ServeEarly(t, head+"\r\na part", end)
		for range tries {
			if body, err := upload(pool, address); err == nil {
				t.Errorf("%s: %q is taken for a whole answer", name, body)
			}
		}
	}
	for name, address := range map[string]string{
		"early, with a length": answertest.ServeEarly(t, head+"Content-Length: 5\r\n\r\nwhole", answertest.HalfClose),
		"behind the request":   answertest.Serve(t, func(string) string { return head + "Connection: close\r\n\r\nwhole" }),
	} {
		for range tries {
			if body, err := upload(pool, address); body != "whole" || err != nil {
				t.Errorf("%s: %q, %v", name, body, err)
			}
		}
	}
}
