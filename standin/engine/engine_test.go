package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/state/engineapi"
	. "github.com/smartystreets/goconvey/convey"
)

func start(t *testing.T, cfg Config) *Server {
	t.Helper()
	srv, err := Start("127.0.0.1:0", cfg)
	if err != nil {
		t.Fatal(err)
	}
	return srv
}

func post(address, path string, body any) int {
	data, _ := json.Marshal(body)
	resp, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(data))
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

func words(n int, first string) []engineapi.Message {
	return []engineapi.Message{{Role: "user", Content: first + strings.Repeat(" w", n-1)}}
}

func openOn(srv *Server, stream string, epoch uint32, messages []engineapi.Message) (*session, error) {
	chat := engineapi.ChatRequest{Messages: messages, Pipeline: &engineapi.Pipeline{
		Stream: stream, Epoch: epoch, Chain: []engineapi.Stage{srv.Stage()},
	}}
	return srv.Engine.open(context.Background(), openRequest{Chat: chat})
}

func TestModelShowsEveryLayer(t *testing.T) {
	Convey("A token's bytes tell a layer skipped, repeated or out of order", t, func() {
		through := func(layers ...int) string {
			hidden := firstHidden(promptState(words(3, "a")), 0)
			for _, layer := range layers {
				hidden = runLayer(hidden, layer)
			}
			return tokenText(hidden)
		}
		seen := map[string]bool{}
		for _, text := range []string{through(0, 1, 2), through(0, 2), through(0, 1, 1, 2), through(1, 0, 2), through(0, 1)} {
			So(seen[text], ShouldBeFalse)
			seen[text] = true
		}
		So(Answer(3, words(3, "a"), 2)[0], ShouldEqual, through(0, 1, 2))
	})
}

func TestOrders(t *testing.T) {
	older := engineapi.Order{Model: "toy", First: 0, Last: 1, PlacementVersion: 4}
	for _, checks := range []bool{true, false} {
		Convey(fmt.Sprint("An older order, with checks ", checks), t, func() {
			srv := start(t, Config{Model: "toy", Last: 3, Version: 5, CheckFencing: checks})
			defer srv.Close()
			want := http.StatusNoContent
			if checks {
				want = http.StatusConflict
			}
			So(post(srv.Address, engineapi.PathOrders, older), ShouldEqual, want)
			So(srv.Stage().Last == 3, ShouldEqual, checks)
		})
	}
}

func TestEpochsAndCancels(t *testing.T) {
	Convey("A slot is taken once for each stream, and a late epoch takes none", t, func() {
		srv := start(t, Config{Last: 3, Slots: 2})
		defer srv.Close()
		first, err := openOn(srv, "s", 1, words(1, "a"))
		So(err, ShouldBeNil)
		_, err = openOn(srv, "s", 2, words(1, "a"))
		So(err, ShouldBeNil)
		So(first.ctx.Err(), ShouldNotBeNil)
		So(srv.Engine.Running(), ShouldEqual, 1)
		_, err = openOn(srv, "s", 1, words(1, "a"))
		So(err, ShouldEqual, errCancelled)

		srv.Engine.Cancel("s", 1) // a late cancel of the old epoch
		So(srv.Engine.Running(), ShouldEqual, 1)
		srv.Engine.Cancel("s", 2)
		So(srv.Engine.Running(), ShouldEqual, 0)

		srv.Engine.Cancel("t", 1) // a cancel that overtakes its open
		_, err = openOn(srv, "t", 1, words(1, "a"))
		So(err, ShouldEqual, errCancelled)
		So(srv.Engine.Running(), ShouldEqual, 0)
	})
}

func TestSlotsAndQueue(t *testing.T) {
	Convey("Full slots queue, a full queue refuses, and a slot freed goes to the queue", t, func() {
		srv := start(t, Config{Last: 3, Slots: 1, Queue: 1})
		defer srv.Close()
		holder, err := openOn(srv, "holder", 1, words(1, "a"))
		So(err, ShouldBeNil)
		queued := make(chan error)
		go func() {
			_, err := openOn(srv, "queued", 1, words(1, "a"))
			queued <- err
		}()
		for srv.Engine.Load().Waiting == 0 {
			time.Sleep(time.Millisecond)
		}
		_, err = openOn(srv, "refused", 1, words(1, "a"))
		So(err, ShouldEqual, errFull)
		srv.Engine.finish(holder, false)
		So(<-queued, ShouldBeNil)
		So(srv.Engine.Running(), ShouldEqual, 1)
	})
}

func TestPrefillTime(t *testing.T) {
	cfg := Config{Last: 3, PrefillToken: time.Millisecond, ImportToken: time.Microsecond, ImportFixed: 5 * time.Microsecond, CacheBlocks: 8, EventLoss: 3}
	Convey("Cached prefixes shorten prefill; events come with gaps", t, func() {
		srv := start(t, cfg)
		defer srv.Close()
		cold, _ := openOn(srv, "cold", 1, words(40, "x"))
		warm, _ := openOn(srv, "warm", 1, words(40, "x"))
		other, _ := openOn(srv, "other", 1, words(40, "y"))
		So(cold.prefillDue, ShouldEqual, 40*time.Millisecond)
		So(warm.prefillDue, ShouldEqual, 8*time.Millisecond)
		So(other.prefillDue, ShouldEqual, 40*time.Millisecond)
		srv.Engine.DropCache()
		again, _ := openOn(srv, "again", 1, words(40, "x"))
		So(again.prefillDue, ShouldEqual, 40*time.Millisecond)
		srv.Engine.mu.Lock()
		defer srv.Engine.mu.Unlock()
		events := srv.Engine.cache.eventsAfter(1, time.Now())
		So(events[0].Sequence, ShouldEqual, 2)
		So(events[1].Sequence, ShouldEqual, 4) // the third was lost
	})
	Convey("An import costs by what it covers", t, func() {
		srv := start(t, cfg)
		defer srv.Close()
		chat := engineapi.ChatRequest{Messages: words(40, "x"), Pipeline: &engineapi.Pipeline{Stream: "s", Epoch: 1, Chain: []engineapi.Stage{srv.Stage()}}}
		s, err := srv.Engine.open(context.Background(), openRequest{Chat: chat, Covered: 30})
		So(err, ShouldBeNil)
		So(s.prefillDue, ShouldEqual, 10*time.Millisecond+35*time.Microsecond)
	})
}

func TestControl(t *testing.T) {
	Convey("Faults are set from outside, and a frozen engine still takes them", t, func() {
		srv := start(t, Config{Last: 3})
		defer srv.Close()
		So(post(srv.Address, pathControl, Faults{Freeze: true}), ShouldEqual, http.StatusNoContent)
		So(srv.Engine.Faults().Freeze, ShouldBeTrue)
		So(post(srv.Address, pathControl, Faults{Drain: true}), ShouldEqual, http.StatusNoContent)
		So(srv.Engine.Load().Draining, ShouldBeTrue)
		_, err := openOn(srv, "new", 1, words(1, "a"))
		So(err, ShouldEqual, errDraining)
	})
}
