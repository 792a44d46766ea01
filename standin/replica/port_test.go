package replica

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// Guards against a replica that can't come back after a crash, because a connection of another process
// has got its port meanwhile.
func TestPortOfReplicaThatIsGoneIsKept(t *testing.T) {
	fleet := NewFleet(8)
	t.Cleanup(fleet.Close)
	r, err := fleet.Add(Config{ID: "i-0", Service: "llm"})
	if err != nil {
		t.Fatal(err)
	}
	fleet.CrashBy(Crash{DownFor: time.Hour})
	resp, err := http.Get("http://" + r.Address + "/") // returns once the replica serves
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	r.crash()
	if conn, err := net.Dial("tcp", r.Address); err == nil {
		_ = conn.Close()
		t.Fatal("a replica that is gone accepts connections")
	}
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	port, err := net.ResolveTCPAddr("tcp", r.Address)
	if err != nil {
		t.Fatal(err)
	}
	fromPort := net.Dialer{LocalAddr: port}
	if conn, err := fromPort.Dial("tcp", other.Addr().String()); err == nil {
		defer conn.Close()
		t.Error("the replica's port is given to a connection")
	}
	r.comeBack()
	conn, err := net.Dial("tcp", r.Address)
	if err != nil {
		t.Fatal(err)
	}
	_ = conn.Close()
}
