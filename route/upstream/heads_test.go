package upstream

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/state/httpanswer/answertest"
)

const idLine = "Id: r\r\n"

func ask(pool *Pool, method, address string) (*Exchange, string, error) {
	e, err := pool.Send(context.Background(), Request{
		Address: address, Method: method, Target: "/", Host: "h", Header: http.Header{}, HeadTimeout: 5 * time.Second,
		Matches: func(h http.Header) bool { return h.Get("Id") == "r" },
	})
	if err != nil {
		return nil, "", err
	}
	data, err := e.ReadAll(1<<20, 5*time.Second)
	e.KeepAlive(time.Minute)
	return e, string(data), err
}

// Guards against heads that are none and pass for that of an answer, or for an interim one, so that the body behind
// them is read as the answer.
func TestBrokenHeadsAreNoAnswers(t *testing.T) {
	pool := New(time.Now)
	defer pool.Close()
	for name, answer := range answertest.Broken("body", idLine) {
		address := answertest.Serve(t, func(string) string { return answer })
		methods := []string{http.MethodGet, http.MethodPost}
		if _, inHead := answertest.BrokenHeads("")[name]; inHead {
			methods = append(methods, http.MethodHead)
		}
		for _, method := range methods {
			e, body, err := ask(pool, method, address)
			if err == nil {
				t.Errorf("%s: %s: %d %v %q", name, method, e.StatusCode, e.Header, body)
			}
			if e != nil {
				e.Close()
			}
		}
	}
}

// Guards against the same on a connection that has carried a sound answer before.
func TestBrokenHeadsOnKeptConnectionsAreNoAnswers(t *testing.T) {
	pool := New(time.Now)
	defer pool.Close()
	const sound = "HTTP/1.1 200 OK\r\n" + idLine + "Content-Length: 4\r\n\r\nbody"
	for name, answer := range answertest.Broken("body", idLine) {
		answers := []string{sound, answer}
		address := answertest.Serve(t, func(string) string {
			next := answers[0]
			answers = append(answers[1:], next)
			return next
		})
		for i := range 4 {
			e, body, err := ask(pool, http.MethodGet, address)
			if sound := i%2 == 0; sound != (err == nil) || sound && body != "body" {
				t.Errorf("%s: answer %d: %q, %v", name, i, body, err)
			}
			if e != nil {
				e.Close()
			}
		}
	}
}

// Guards against sound heads that are refused.
func TestSoundHeadsAreAnswers(t *testing.T) {
	pool := New(time.Now)
	defer pool.Close()
	for name, answer := range answertest.SoundHeads("body", idLine) {
		address := answertest.Serve(t, func(string) string { return answer })
		e, body, err := ask(pool, http.MethodGet, address)
		if err != nil || body != "body" {
			t.Errorf("%s: %q, %v", name, body, err)
		}
		if e != nil {
			e.Close()
		}
	}
}
