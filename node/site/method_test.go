package site

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/standin/site"
)

// A caller sends a method that is none. The data path writes methods as they came, so it
// has to be refused at the door, and nothing of it reaches a replica.
func TestMethodThatIsNone(t *testing.T) {
	p := newPlatform(t)
	p.chains(3, time.Millisecond)
	node := p.node(p.settings("front-1"))
	for _, method := range []string{"P T", "G\tET", "GE(T"} {
		conn, err := net.Dial("tcp", node.settings.Callers.String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		fmt.Fprintf(conn, "%s /read/1 HTTP/1.1\r\nHost: %s\r\nRequest-Id: m\r\nAuthorization: Token %s\r\n\r\n", method, site.Host, goodKey)
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil || answer.StatusCode != http.StatusBadRequest {
			t.Errorf("%q: %v, %v", method, answer, err)
		}
	}
	if runs := p.Fleet.Runs(""); len(runs) > 0 {
		t.Errorf("ran: %v", runs)
	}
}
