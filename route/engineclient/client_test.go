package engineclient

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	standin "github.com/cicadatack/cicadatack/standin/engine"
	"github.com/cicadatack/cicadatack/state/engineapi"
	. "github.com/smartystreets/goconvey/convey"
	"go.uber.org/goleak"
)

// TestMain fails the run if a test leaks a goroutine.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func startEngine(t *testing.T, cfg standin.Config) *standin.Server {
	t.Helper()
	cfg.Model, cfg.Last, cfg.Version = "toy", 3, 2
	srv, err := standin.Start("127.0.0.1:0", cfg)
	if err != nil {
		t.Fatal(err)
	}
	return srv
}

func chatFor(srv *standin.Server, stream string) engineapi.ChatRequest {
	return engineapi.ChatRequest{
		Model:     "toy",
		Messages:  []engineapi.Message{{Role: "user", Content: "tide"}},
		MaxTokens: 3,
		Pipeline:  &engineapi.Pipeline{Stream: stream, Epoch: 1, PlacementVersion: 2, Chain: []engineapi.Stage{srv.Stage()}},
	}
}

func TestClientCalls(t *testing.T) {
	Convey("Each call of the client succeeds or fails with the engine's status", t, func() {
		srv := startEngine(t, standin.Config{CheckFencing: true})
		defer srv.Close()
		client := New(nil)
		defer client.CloseIdle()
		ctx := context.Background()

		stream, err := client.Open(ctx, srv.Address, chatFor(srv, "calls"))
		So(err, ShouldBeNil)
		defer stream.Close()
		want := standin.Answer(4, chatFor(srv, "").Messages, 3)
		for position, token := range want {
			event, err := stream.Next()
			So(err, ShouldBeNil)
			So(event.Token, ShouldEqual, token)
			So(event.Trace.Position, ShouldEqual, position)
		}
		event, err := stream.Next()
		So(err, ShouldBeNil)
		So(event.Finish, ShouldNotBeEmpty)
		_, err = stream.Next()
		So(errors.Is(err, io.EOF), ShouldBeTrue)

		holding, err := client.HoldingReport(ctx, srv.Address)
		So(err, ShouldBeNil)
		So(holding.Holding, ShouldResemble, engineapi.Holding{Model: "toy", Last: 3, PlacementVersion: 2})
		err = client.Order(ctx, srv.Address, engineapi.Order{Model: "toy", Last: 1, PlacementVersion: 1})
		So(HTTPStatus(err), ShouldEqual, http.StatusConflict)
		So(client.Order(ctx, srv.Address, engineapi.Order{Model: "toy", Last: 1, PlacementVersion: 3}), ShouldBeNil)
		load, err := client.Load(ctx, srv.Address)
		So(err, ShouldBeNil)
		So(load.Slots, ShouldEqual, standin.DefaultSlots)
		So(client.Cancel(ctx, srv.Address, "nobody's", 0), ShouldBeNil)
		_, err = client.CacheEvents(ctx, srv.Address, 0)
		So(err, ShouldBeNil)
	})
}

// If a request that ran is reported as "not run", its caller may run it twice. The
// state is "not run" only if nothing listened or the engine says that it refused the
// request. A connection that broke after the request was sent, a timeout or an error
// status alone does not prove that the request was not run.
func TestFailedSendIsNotRunOnlyIfCertain(t *testing.T) {
	refusing := startEngine(t, standin.Config{})
	defer refusing.Close()
	refusing.Engine.SetFaults(standin.Faults{Drain: true})
	frozen := startEngine(t, standin.Config{})
	defer frozen.Close()
	frozen.Engine.SetFaults(standin.Faults{Freeze: true})
	dead := startEngine(t, standin.Config{})
	dead.Close()
	disconnecting, stop := listenAndDisconnect(t)
	defer stop()
	cases := []struct {
		name    string
		address string
		notRun  bool
	}{
		{"nothing listens", dead.Address, true},
		{"refused with the header", refusing.Address, true},
		{"frozen", frozen.Address, false},
		{"connection breaks after the request", disconnecting, false},
	}
	Convey("A failed send is \"not run\" only if that is certain", t, func() {
		client := New(nil)
		defer client.CloseIdle()
		for _, c := range cases {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			_, err := client.Open(ctx, c.address, chatFor(refusing, c.name))
			cancel()
			So(err, ShouldNotBeNil)
			So(fmt.Sprint(c.name, NotRun(err)), ShouldEqual, fmt.Sprint(c.name, c.notRun))
		}
	})
}

// If calls are not repeated on a new connection, the first cancel after a network cut
// is lost: the client's idle connections are broken and the client does not know.
func TestCallsSucceedAfterConnectionsBreak(t *testing.T) {
	Convey("Each call after its connections were cut reaches the engine", t, func() {
		srv := startEngine(t, standin.Config{})
		defer srv.Close()
		client := New(nil)
		defer client.CloseIdle()
		for range 200 {
			So(client.Cancel(context.Background(), srv.Address, "s", 0), ShouldBeNil)
			srv.CutConnections()
		}
	})
}

// If a refusal of the second attempt counted as "not run", an order that the engine
// has carried out would be reported as not run. The engine reads the order on an idle
// connection and crashes before it answers. The transport sends the order again, and
// the restarted engine refuses it.
func TestRefusalOfSecondAttemptLeavesStateUnknown(t *testing.T) {
	var attempts atomic.Int32
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		switch attempts.Add(1) {
		case 1:
			w.WriteHeader(http.StatusNoContent)
		case 2:
			panic(http.ErrAbortHandler)
		default:
			w.Header().Set(engineapi.HeaderNotRun, "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer srv.Close()
	Convey("A refusal after a broken first attempt does not mean \"not run\"", t, func() {
		client := New(nil)
		defer client.CloseIdle()
		address := srv.Listener.Addr().String()
		So(client.Order(context.Background(), address, engineapi.Order{}), ShouldBeNil)
		err := client.Order(context.Background(), address, engineapi.Order{})
		So(attempts.Load(), ShouldEqual, 3)
		So(HTTPStatus(err), ShouldEqual, http.StatusServiceUnavailable)
		So(NotRun(err), ShouldBeFalse)
	})
}

// listenAndDisconnect accepts connections, reads the first byte of the request
// and closes the connection without an answer.
func listenAndDisconnect(t *testing.T) (string, func()) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			conn.Read(make([]byte, 1))
			conn.Close()
		}
	}()
	return listener.Addr().String(), func() { listener.Close(); <-done }
}
