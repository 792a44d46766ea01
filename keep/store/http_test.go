package store

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// clientOf returns a client of a handler. The fakes of the whole protocol are
// in standin/storefake, with the tests that need them.
func clientOf(t *testing.T, handler http.HandlerFunc) *HTTP {
	server := httptest.NewServer(handler)
	client, err := New(Config{
		Address:     strings.TrimPrefix(server.URL, "http://"),
		CallTimeout: time.Second,
		Backoff:     time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { client.Close(); server.Close() })
	return client
}

// A writer is told "not done" only by an answer that proves it. A gateway that
// times out answers 5xx while the write may have gone through, and so may one
// whose answer cannot be read.
func TestAnswersOfAWrite(t *testing.T) {
	cases := []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"refused before work", http.StatusTooManyRequests, `{"code":8}`, ErrUnavailable},
		{"gateway's deadline", http.StatusServiceUnavailable, `{"code":14}`, ErrUnknown},
		{"internal error", http.StatusInternalServerError, `<html>`, ErrUnknown},
		{"cut short", http.StatusOK, `{"succeeded":`, ErrUnknown},
		{"wrong type", http.StatusOK, `{"header":{"revision":7}}`, ErrUnknown},
		{"not understood", http.StatusBadRequest, `{"code":3}`, ErrProtocol},
		{"comparison failed", http.StatusOK, `{"header":{"revision":"7"}}`, ErrConflict},
	}
	Convey("Given a store's answer to a write", t, func() {
		for _, c := range cases {
			calls := 0
			client := clientOf(t, func(w http.ResponseWriter, _ *http.Request) {
				calls++
				w.WriteHeader(c.status)
				_, _ = w.Write([]byte(c.body))
			})
			_, err := client.CompareAndSwap(context.Background(), "k", 1, []byte("v"))
			So(errors.Is(err, c.want), ShouldBeTrue)
			for _, other := range []error{ErrUnavailable, ErrUnknown, ErrConflict} {
				So(errors.Is(err, other), ShouldEqual, other == c.want)
			}
			So(calls, ShouldEqual, 1)
		}
	})
}

func TestReadsAreRepeated(t *testing.T) {
	Convey("Given a store that fails twice, then answers", t, func() {
		calls := 0
		client := clientOf(t, func(w http.ResponseWriter, _ *http.Request) {
			calls++
			if calls <= 2 {
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			_, _ = w.Write([]byte(`{"kvs":[{"key":"aw==","value":"dg==","mod_revision":"4"}]}`))
		})
		entry, err := client.Get(context.Background(), "k")
		So(err, ShouldBeNil)
		So(entry, ShouldResemble, Entry{Key: "k", Value: []byte("v"), Revision: 4})
		So(calls, ShouldEqual, 3)
	})
	Convey("Given a store that keeps failing, a read ends as unavailable", t, func() {
		client := clientOf(t, func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(http.StatusServiceUnavailable)
		})
		_, err := client.Get(context.Background(), "k")
		So(errors.Is(err, ErrUnavailable), ShouldBeTrue)
		So(errors.Is(err, ErrUnknown), ShouldBeFalse)
		So(client.Calls(), ShouldEqual, DefaultReadAttempts)
	})
}

func TestAddressMustBeANumber(t *testing.T) {
	Convey("A name in place of an IP number is refused", t, func() {
		_, err := New(Config{Address: "store.example:2379"})
		So(Error.Has(err), ShouldBeTrue)
	})
}
