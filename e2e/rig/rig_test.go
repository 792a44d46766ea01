package rig

import (
	"net"
	"net/http"
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
