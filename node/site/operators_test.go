package site

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/node/operators"
	"github.com/cicadatack/cicadatack/route/decisionlog"
	"github.com/cicadatack/cicadatack/standin/replica"
	"github.com/cicadatack/cicadatack/standin/site"
)

// operator asks the operators' door and reads its answer.
func (r *running) operator(t testing.TB, path string, into any) {
	t.Helper()
	got := get(t, "http://"+r.settings.Control.String()+path)
	if got.status != http.StatusOK {
		t.Fatalf("%s: %d %s", path, got.status, got.body)
	}
	if err := json.Unmarshal([]byte(got.body), into); err != nil {
		t.Fatal(err)
	}
}

// An order is refused by every endpoint, a read is answered by the second one, and a
// stream goes well. From each one's id alone the node tells where it was sent, how each
// try ended, why it was tried again or not, and under which configuration, also of those
// that are not logged.
func TestRequestsAreExplained(t *testing.T) {
	p := newPlatform(t)
	p.chains(5, time.Millisecond)
	node := p.node(p.settings("front-1"))
	node.ask("POST", "/ask/x", "s1", goodKey)
	p.Replica("i-plain-0").SetFault(replica.Fault{Refuse: true})
	p.Replica("i-plain-1").SetFault(replica.Fault{Refuse: true})
	if got := node.ask("POST", "/order/1", "o1", goodKey); got.status != http.StatusServiceUnavailable {
		t.Fatalf("%d", got.status)
	}
	var status operators.Status
	node.operator(t, operators.PathStatus, &status)
	if !status.Ready || status.Revision == 0 || status.Replicas[site.ModelService]["ready"] != 4 || len(status.Members) == 0 || status.StoreCalls["read_done"] == 0 {
		t.Errorf("%+v", status)
	}
	for id, want := range map[string]string{"s1": "route finish", "o1": "route retry route retry refuse"} {
		var told operators.Explanation
		node.operator(t, operators.PathExplain+id, &told)
		var kinds []string
		for _, d := range told.Decisions {
			kinds = append(kinds, string(d.Kind))
			if d.Revision != status.Revision || d.Reason == "" || d.Service == "" || d.Team != site.Team {
				t.Errorf("%s: %+v", id, d)
			}
		}
		if got := strings.Join(kinds, " "); got != want {
			t.Errorf("%s: %s, want %s", id, got, want)
		}
		if first := told.Decisions[0]; first.Kind != decisionlog.Route || first.Chosen == "" || first.Values["proof_age_ms"] < 0 {
			t.Errorf("%s: %+v", id, first)
		}
	}
	if got := get(t, "http://"+node.settings.Control.String()+operators.PathExplain+"nobody"); got.status != http.StatusNotFound {
		t.Errorf("a request that never was: %d", got.status)
	}
}
