package rig

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
)

// A cell of the fault matrix kills an endpoint and heals the faults afterwards.
// Meanwhile another cell's endpoint gets the freed port. If the healed link led
// there, the first cell's orders would arrive at the second cell's endpoint,
// which would seem to get its own order several times.
func TestKilledStandinStaysDead(t *testing.T) {
	r := &Rig{ip: ownIP()}
	defer r.Close()
	s, err := r.serve(http.NotFoundHandler())
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.Get("http://" + s.Address())
	if err != nil {
		t.Fatal(err)
	}
	response.Body.Close()
	s.Kill()
	next, err := net.Listen("tcp", s.http.Addr)
	if err != nil {
		t.Fatal(err)
	}
	defer next.Close()
	s.Link.Heal()
	if conn, err := net.Dial("tcp", s.Address()); err == nil {
		conn.Close()
		t.Error("a killed stand-in's address takes connections")
	}
}

// A port of one rig can't become another's: each has its own IP number.
func TestRigsHaveAddressesOfTheirOwn(t *testing.T) {
	seen := map[string]bool{}
	for range 1000 {
		ip := ownIP()
		if seen[ip] || net.ParseIP(ip) == nil || !net.ParseIP(ip).IsLoopback() {
			t.Fatalf("%s is taken or no loopback address", ip)
		}
		seen[ip] = true
	}
}

// Guards against a fault that a test believes to be in force after a call that was given up early has
// taken it away.
func TestTrapForEachCallStaysWhenCallsEndEarly(t *testing.T) {
	tokens := 0
	h := newTrapped(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for i := range tokens {
			fmt.Fprintf(w, `{"position":%d,}`, i)
		}
	}))
	sprung := 0
	h.set(&Trap{Path: "/chat", Body: "marked", When: AtToken, Token: 3, Each: true, Spring: func() { sprung++ }})
	for _, tokens = range []int{0, 2, 5, 1, 4} {
		h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/chat", strings.NewReader("a marked call")))
	}
	if sprung != 2 {
		t.Errorf("sprung %d times in two calls that came so far", sprung)
	}
}
