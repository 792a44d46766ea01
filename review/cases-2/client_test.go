package cases

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// isReady asks a node as the platform does.
func (n *node) isReady() bool {
	status, _, err := get(n.ready, "/ready")
	return err == nil && status == http.StatusOK
}

// resolve asks a node which addresses to use, as consumers do.
func (n *node) resolve() []string {
	_, body, err := get(n.directory, "/resolve?name="+host+"&region=java-west&zone="+n.zone)
	var answer struct {
		Addrs []string `json:"addrs"`
	}
	if err != nil || json.Unmarshal(body, &answer) != nil {
		return nil
	}
	return answer.Addrs
}

func get(address, target string) (int, []byte, error) {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + address + target)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

// connection is a consumer's connection to a node. Nothing is sent twice on it.
type connection struct {
	net.Conn
	reader *bufio.Reader
}

func dial(address string) (*connection, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &connection{c, bufio.NewReader(c)}, nil
}

// call is one consumer attempt.
type call struct {
	id, method, target string
	extra              string // further header lines, each with its line end
	body               string
	budget             time.Duration
}

// reply is what came of a consumer attempt.
type reply struct {
	sent, ended time.Time
	// status is 0 if the connection ended without the head of an answer.
	status int
	header http.Header
	body   string
	// err is why the answer is not complete.
	err error
}

func (r reply) String() string {
	took := r.ended.Sub(r.sent).Milliseconds()
	switch {
	case r.status == 0:
		return fmt.Sprintf("no answer after %d ms: %v", took, r.err)
	case r.err != nil:
		return fmt.Sprintf("%d, cut after %d ms: %v", r.status, took, r.err)
	}
	return fmt.Sprintf("%d after %d ms, stamp %q, body %.60q", r.status, took, r.header.Get("Server-Stamp"), r.body)
}

// send makes a consumer attempt on the connection and reads the answer to its end.
func (c *connection) send(q call) reply {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\n%s",
		q.method, q.target, host, q.id, q.budget.Milliseconds(), tenantKey, q.extra)
	if q.method != http.MethodGet {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(q.body))
	}
	r := reply{sent: time.Now()}
	defer func() { r.ended = time.Now() }()
	// A consumer waits a second longer than it said, so that a late answer is seen as one.
	_ = c.SetDeadline(r.sent.Add(q.budget + time.Second))
	if _, r.err = io.WriteString(c, text+"\r\n"+q.body); r.err != nil {
		return c.over(r)
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		r.err = err
		return c.over(r)
	}
	r.status, r.header = response.StatusCode, response.Header
	body, err := io.ReadAll(response.Body)
	r.body, r.err = string(body), err
	return c.over(r)
}

func (c *connection) over(r reply) reply {
	r.ended = time.Now()
	return r
}

// ask makes a consumer attempt on a new connection.
func ask(address string, q call) reply {
	c, err := dial(address)
	if err != nil {
		now := time.Now()
		return reply{sent: now, ended: now, err: err}
	}
	defer c.Close()
	return c.send(q)
}
