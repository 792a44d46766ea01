package site

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cicadatack/cicadatack/route/replicalist"
	"github.com/cicadatack/cicadatack/standin/replica"
	"github.com/cicadatack/cicadatack/standin/site"
)

// oddEntry is an entry among those of the replicas that no replica has written.
type oddEntry struct{ name, id, value string }

// modelEntry returns an entry of a model replica at a port where nobody listens, with further fields.
// Fields that are there twice count as the last one says.
func modelEntry(fields string) string {
	return `{"service":"llm","addr":"127.0.0.1:1","zone":"bandung","state":"ready","kind":"l4","slots":192,"born":1,"seq":1,` + fields + `}`
}

// plainEntry is modelEntry for a replica of the plain service.
func plainEntry(fields string) string {
	return `{"service":"ledger","addr":"127.0.0.1:1","zone":"bandung","state":"ready","slots":192,"born":1,"seq":1,` + fields + `}`
}

func nested(open, inner, end string, depth int) string {
	return strings.Repeat(open, depth) + inner + strings.Repeat(end, depth)
}

// oddEntries are the entries of these tests.
func oddEntries() []oddEntry {
	const depth = 100000
	list := []oddEntry{
		{name: "nested", value: nested(`{"a":`, "1", "}", depth)},
		{name: "nested without an end", value: nested("[", "", "", depth)},
		{name: "nested layers", value: modelEntry(`"layers":` + nested("[", "", "]", depth))},
		{name: "nested in an unknown field", value: modelEntry(`"x":` + nested(`{"a":[`, "", "]}", depth))},
		{name: "nested version", value: plainEntry(`"version":` + nested("[", "", "]", depth))},
		{name: "nested, as deep as is read", value: plainEntry(`"x":` + nested("[", "", "]", 9000))},
		{name: "empty", value: ""},
		{name: "null", value: "null"},
		{name: "two documents", value: plainEntry(`"x":1`) + plainEntry(`"x":2`)},
		{name: "no JSON", value: "\xff\x00"},
		{name: "a long number", value: plainEntry(`"slots":` + strings.Repeat("9", 100000))},
	}
	for _, span := range []string{
		`0,"target":9`, `8,"target":9`, `5,"target":12`, `0,"target":4096`, `0,"target":4097`, `0,"target":1000000000`,
		`0,"target":9223372036854775807`, `9223372036854775806,"target":9223372036854775807`, `-1,"target":8`,
		`-9223372036854775808,"target":9223372036854775807`, `7,"target":2`, `3,"target":3`, `0,"target":1e30`, `0.5,"target":8`,
	} {
		list = append(list, oddEntry{name: "layers from " + span, value: modelEntry(`"layers":{"from":` + span + `}`)})
	}
	for _, fields := range []string{
		`"slots":-1`, `"slots":-9223372036854775808`, `"slots":9223372036854775807`, `"slots":1e30`, `"slots":"8"`,
		`"born":-1`, `"born":9223372036854775807`, `"born":1e300`, `"born":0.5`,
		`"addr":"127.0.0.1:0"`, `"addr":"127.0.0.1:70000"`, `"addr":"127.0.0.1:-1"`, `"addr":"127.0.0.1:100000000000000000000"`,
		`"addr":"0.0.0.0:80"`, `"addr":""`, `"zone":""`, `"zone":"a\u0000\r\nb"`, `"service":7`, `"state":"resting"`, `"busy":"x"`, `"kind":7`,
	} {
		list = append(list, oddEntry{name: fields, value: plainEntry(fields)})
	}
	for _, id := range []string{"i-\r\nX: y", "i-\x00", "i odd", "", strings.Repeat("i", 180), "i/../x"} {
		list = append(list, oddEntry{name: fmt.Sprintf("id %.12q", id), id: id, value: plainEntry(`"x":1`)})
	}
	for i := range list {
		if !strings.HasPrefix(list[i].name, "id ") {
			list[i].id = fmt.Sprint("i-odd-", i)
		}
	}
	return list
}

// taken are the entries of another writer in the places of replicas, by id.
type taken map[string]string

// beatBeside renews the entries of all replicas whose places are not taken.
func (p *platform) beatBeside(places taken) {
	for id, r := range p.Replicas() {
		if _, is := places[id]; !is {
			p.Put("servers/"+id, r.Entry())
		}
	}
	for id, value := range places {
		p.Put("servers/"+id, []byte(value))
	}
}

// checkServes checks that a node serves both services, and follows the list: a replica that comes now
// is listed. It returns that replica.
func (p *platform) checkServes(node *running, name string, places taken) (later string) {
	p.t.Helper()
	later = "i-later-" + fmt.Sprint(time.Now().UnixNano())
	if err := p.Add(replica.Config{ID: later, Service: site.PlainService, Domain: "bandung"}); err != nil {
		p.t.Fatal(err)
	}
	tries := 0
	p.until("a later replica is listed and both services are served, "+name, func() bool {
		tries++
		p.beatBeside(places)
		listed := slices.ContainsFunc(node.replicas(), func(r *replicalist.Replica) bool { return r.ID == later })
		stream := node.ask("POST", "/ask/x", fmt.Sprint(later, "-s", tries), goodKey)
		read := node.ask("GET", "/read/1", fmt.Sprint(later, "-r", tries), goodKey)
		return listed && stream.status == http.StatusOK && stream.err == nil && read.status == http.StatusOK
	})
	return later
}

// checkUses checks that a node sends requests to a replica.
func (p *platform) checkUses(node *running, id string) {
	p.t.Helper()
	tries := 0
	p.until("requests are sent to "+id, func() bool {
		tries++
		request := fmt.Sprint(id, "-u", tries)
		got := node.ask("GET", "/read/1", request, goodKey)
		return got.status == http.StatusOK && slices.ContainsFunc(p.Fleet.Runs(request), func(r replica.Run) bool { return r.Replica == id })
	})
}

// end ends a replica and its entry.
func (p *platform) end(id string) {
	p.Lose(id)
	p.Forget(id)
}

// checkFollows checks that a node serves, and uses a replica that comes now.
func (p *platform) checkFollows(node *running, name string) {
	p.t.Helper()
	later := p.checkServes(node, name, nil)
	p.checkUses(node, later)
	p.end(later)
}

// awaitSound waits until a node lists all replicas of the site, each as it describes itself.
func (p *platform) awaitSound(node *running) {
	p.t.Helper()
	p.until("the sound replicas are listed", func() bool {
		listed := map[string]int64{}
		for _, r := range node.replicas() {
			listed[r.ID] = r.Incarnation
		}
		for id, r := range p.Replicas() {
			if listed[id] != r.Born {
				return false
			}
		}
		return true
	})
}

// Guards against a node that ends, or stops following the list of replicas, because of one entry that
// another writer has left beside those of the replicas.
func TestOddEntryBesideSoundOnes(t *testing.T) {
	p := newPlatform(t)
	p.chains(3, time.Millisecond)
	node := p.node(p.settings("front-1"))
	for _, odd := range oddEntries() {
		p.Put("servers/"+odd.id, []byte(odd.value))
		p.end(p.checkServes(node, odd.name, nil))
		p.Forget(odd.id)
	}
	p.awaitSound(node)
	p.checkFollows(node, "after all of them")
}

// Guards against the same for an entry that takes the place of a sound replica's, and against a
// replica that is not used again once its own entry is back.
func TestOddEntryInPlaceOfASoundOne(t *testing.T) {
	p := newPlatform(t)
	p.chains(3, time.Millisecond)
	node := p.node(p.settings("front-1"))
	for i, odd := range oddEntries() {
		if strings.HasPrefix(odd.name, "id ") {
			continue // an id is not an entry's
		}
		place := fmt.Sprint("i-model-", i%4)
		if strings.Contains(odd.value, `"ledger"`) {
			place = fmt.Sprint("i-plain-", i%2)
		}
		p.end(p.checkServes(node, odd.name, taken{place: odd.value}))
		p.Beat()
		p.awaitSound(node)
	}
	p.checkFollows(node, "after all of them")
}

// Guards against a node that ends at each start while such entries are there, many at once.
func TestOddEntriesBeforeTheStart(t *testing.T) {
	p := newPlatform(t)
	p.chains(3, time.Millisecond)
	for _, odd := range oddEntries() {
		p.Put("servers/"+odd.id, []byte(odd.value))
	}
	node := p.node(p.settings("front-1"))
	p.checkFollows(node, "all odd entries before the start")
	other := p.node(p.settings("front-2"))
	p.checkFollows(other, "a second node")
	for _, odd := range oddEntries() {
		p.Forget(odd.id)
	}
	p.checkFollows(node, "after the odd entries have gone")
}

// Guards against a node that ends, and replicas that are lost for good, because the list and the
// configuration speak of different numbers of layers for a while.
func TestReplicasOfAnotherNumberOfLayers(t *testing.T) {
	p := newPlatform(t)
	p.chains(3, time.Millisecond)
	node := p.node(p.settings("front-1"))
	for _, layers := range []string{"6", "3", "1"} {
		p.ConfigureEdited([]string{goodKey}, `"layers":8`, `"layers":`+layers)
		p.until("the configuration is in force", func() bool {
			return fmt.Sprint(node.rules.Load().Service(site.ModelService).Model.Layers) == layers
		})
		p.until("the state is told", func() bool { return node.countReplicas()[site.ModelService]["ready"] > 0 })
		p.Beat()
	}
	p.Configure(goodKey)
	p.until("the model is served by all its layers again", func() bool {
		p.Beat()
		got := node.ask("POST", "/ask/x", fmt.Sprint("s", time.Now().UnixNano()), goodKey)
		return got.status == http.StatusOK && got.err == nil
	})
	p.checkFollows(node, "after the change of layers")
}

// Guards against a log that has a line for each renewal of an entry that can't be used, and against
// entries that are passed over unseen.
func TestOddEntryIsToldOnce(t *testing.T) {
	p := newPlatform(t)
	p.chains(3, time.Millisecond)
	node := p.node(p.settings("front-1"))
	told := func() int { return strings.Count(p.log(), `"replica":"i-odd"`) }
	revision := func() int64 {
		node.taking.Lock()
		defer node.taking.Unlock()
		return node.poll.passedOver["i-odd"].revision
	}
	for range 5 {
		before := revision()
		p.Put("servers/i-odd", []byte(plainEntry(`"slots":-1`)))
		p.until("the entry is read", func() bool { return revision() > before })
	}
	if told() != 1 {
		t.Errorf("told %d times", told())
	}
	before := revision()
	p.Put("servers/i-odd", []byte(plainEntry(`"slots":`+strings.Repeat("9", 5000))))
	p.until("the entry is read", func() bool { return revision() > before })
	if told() != 2 {
		t.Errorf("told %d times, want one line more for another reason", told())
	}
	for line := range strings.Lines(p.log()) {
		if strings.Contains(line, "entry can't be read") && len(line) > 2000 {
			t.Errorf("a line of %d bytes", len(line))
		}
	}
	p.until("the metric counts it", func() bool {
		return strings.Contains(get(t, "http://"+node.settings.Control.String()+"/metrics").body, `cicadatack_replica_entries_passed_over{node="front-1"} 1`)
	})
	p.Forget("i-odd")
	p.until("nothing is remembered of it", func() bool { return revision() == 0 })
}

// Guards against replicas whose layers the configuration does not have and that nobody is told of.
func TestForeignLayersAreCounted(t *testing.T) {
	p := newPlatform(t)
	p.chains(3, time.Millisecond)
	node := p.node(p.settings("front-1"))
	p.Put("servers/i-odd", []byte(modelEntry(`"layers":{"from":5,"target":12}`)))
	p.until("the replica is counted", func() bool { return node.countReplicas()[site.ModelService][stateForeignLayers] == 1 })
	if slices.ContainsFunc(node.replicas(), func(r *replicalist.Replica) bool { return r.ID != "i-odd" && r.Holds.To > site.Layers }) {
		t.Error("a sound replica has layers that the model does not have")
	}
}

// Guards against layers that nobody holds because the plan gives them to a replica that takes no orders:
// an entry of another writer, at an address where nobody listens.
func TestUnreachableReplicaGetsNoLayersAlone(t *testing.T) {
	p := newPlatform(t)
	p.Put("servers/a-odd", []byte(modelEntry(`"x":1`)))
	for i := range 2 {
		c := replica.Config{ID: fmt.Sprint("i-model-", i), Service: site.ModelService, Domain: "bandung", Kind: site.Card, Model: true, Events: 3, Pause: time.Millisecond}
		if err := p.Add(c); err != nil {
			t.Fatal(err)
		}
	}
	if err := p.Add(replica.Config{ID: "i-plain-0", Service: site.PlainService, Domain: "bandung"}); err != nil {
		t.Fatal(err)
	}
	node := p.node(p.settings("front-1"))
	tries := 0
	p.until("a stream is served", func() bool {
		p.Beat()
		tries++
		got := node.ask("POST", "/ask/x", fmt.Sprint("s", tries), goodKey)
		return got.status == http.StatusOK && got.err == nil
	})
}
