package server

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/node/tlsfiles/tlstest"
	"github.com/cicadatack/cicadatack/platform/kv"
	"github.com/cicadatack/cicadatack/route/outcome"
	"github.com/cicadatack/cicadatack/standin/storefake"
	"github.com/cicadatack/cicadatack/state/promotion"
	"github.com/cicadatack/cicadatack/state/store"
)

// Guards against callers who are refused because their node has lost its links to the endpoints:
// another node serves them, over connections with certificates on both sides, and the node says
// of which service it reaches no endpoint.
func TestCallsOfACutOffNodeAreServedByAnother(t *testing.T) {
	fake := storefake.New()
	served := httptest.NewServer(fake)
	t.Cleanup(served.Close)
	t.Cleanup(fake.Close)
	address := served.Listener.Addr().String()
	endpoint := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("barge 7")) }))
	t.Cleanup(endpoint.Close)
	promoteText(t, address, "java", plainDocument("java", endpoint.Listener.Addr().String()))
	fleet := tlstest.NewAuthority(t)
	a, b := secureNode(t, "entry-1", "java", address, fleet), secureNode(t, "entry-2", "java", address, fleet)
	list(t, address, a, b)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}
	t.Cleanup(client.CloseIdleConnections)
	await(t, "both nodes serve and know each other", func() bool {
		return a.directory.Load() != nil && b.directory.Load() != nil && heardOf(a, "entry-2") > 0
	})
	await(t, "the other node has served a call", func() bool {
		a.reach.ObserveDial(endpoint.Listener.Addr().String(), false) // until the next probe
		cutOff := a.status().CutOff["bookings"]
		response, err := get(client, "https://"+a.listeners.callers.Addr().String()+"/services/bookings/manifest")
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatalf("%v, %v", response, err)
		}
		_, reported := a.status().CutOff["bookings"]
		explained := a.decisions.Explain(response.Header.Get(outcome.HeaderRequest))
		return (reported || cutOff > 0) && len(explained) == 0 && len(b.decisions.Explain(response.Header.Get(outcome.HeaderRequest))) > 0
	})
}

func get(client *http.Client, url string) (*http.Response, error) {
	q, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	q.Header.Set("Authorization", "Bearer pens-key")
	response, err := client.Do(q)
	if err == nil {
		response.Body.Close()
	}
	return response, err
}

func await(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(secureTimeout); !ok(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("it never came that %s", what)
		}
	}
}

func plainDocument(environment, endpoint string) string {
	digest := sha256.Sum256([]byte("pens-key"))
	return fmt.Sprintf(`{"format":1,"environment":%q,"failure_domains":[{"name":"bandung","region":"java-west"}],
		"endpoints":[{"name":"e","address":%q,"failure_domain":"bandung"}],
		"services":[{"name":"bookings","kind":"plain","plain":{"endpoints":["e"]}}],
		"teams":[{"name":"pens","weight":1,"key_sha256":[%q]}],"policy":{"entry_valid_s":1}}`,
		environment, endpoint, strings.ToLower(hex.EncodeToString(digest[:])))
}

func promoteText(t *testing.T, address, environment, text string) {
	t.Helper()
	client, err := kv.Open(address, store.Config{})
	if err != nil {
		t.Fatal(err)
	}
	p := promotion.New(client)
	tried, err := p.Trial(context.Background(), environment, []byte(text), "siti")
	if err != nil {
		t.Fatal(err)
	}
	if _, err := p.Promote(context.Background(), environment, tried.Digest, 0, promotion.NewID(), "siti"); err != nil {
		t.Fatal(err)
	}
}
