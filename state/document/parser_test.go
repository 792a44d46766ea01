package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"
	"unsafe"

	. "github.com/smartystreets/goconvey/convey"
)

// largeText is a document with two models that share its endpoints.
func largeText(t testing.TB, endpoints int, change func(*Document)) []byte {
	doc := &Document{Format: Format, Environment: "dawn", FailureDomains: []FailureDomain{{"bandung", "java-west"}}}
	for _, name := range []string{"pastry-llm", "bread-llm"} {
		doc.Services = append(doc.Services, Service{Name: name, Kind: KindModel, Model: &Model{Layers: 32}})
	}
	for i := range endpoints {
		name := fmt.Sprintf("gpu-%05d", i)
		doc.Endpoints = append(doc.Endpoints, Endpoint{Name: name, Address: fmt.Sprintf("10.%d.%d.1:9000", i/250, i%250), FailureDomain: "bandung"})
		m := doc.Services[i%2].Model
		m.Replicas = append(m.Replicas, Replica{Name: fmt.Sprintf("replica-%d", i), Stages: []Stage{{Endpoint: name, Layers: []int{0, 31}}}})
	}
	doc.Teams = []Team{{Name: "bogor", Weight: 2, KeySHA256: []string{strings.Repeat("ab", 32)}}}
	change(doc)
	text, err := json.Marshal(doc)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func unchanged(*Document) {}

func moveOne(doc *Document) { doc.Endpoints[len(doc.Endpoints)/2].Address = "10.200.0.1:9000" }

// shared counts the elements of b whose name is the same memory as one's of a.
func shared(a, b []Endpoint) int {
	at := map[*byte]bool{}
	for _, e := range a {
		at[unsafe.StringData(e.Name)] = true
	}
	count := 0
	for _, e := range b {
		if at[unsafe.StringData(e.Name)] {
			count++
		}
	}
	return count
}

func TestParser(t *testing.T) {
	Convey("Given a parser that has read a large text", t, func() {
		const endpoints = 400
		p := &Parser{sizes: pieceSizes{min: 1024, max: 8192}}
		first, err := p.Parse(largeText(t, endpoints, unchanged))
		So(err, ShouldBeNil)

		Convey("a change of one endpoint leaves all but its own piece shared", func() {
			text := largeText(t, endpoints, moveOne)
			second, err := p.Parse(text)
			So(err, ShouldBeNil)
			whole, err := Parse(text)
			So(err, ShouldBeNil)
			So(reflect.DeepEqual(second, whole), ShouldBeTrue)
			So(shared(first.Endpoints, second.Endpoints), ShouldBeGreaterThan, endpoints/2)
			So(shared(first.Endpoints, second.Endpoints), ShouldBeLessThan, endpoints)
			So(first.Endpoints[endpoints/2].Address, ShouldNotEqual, second.Endpoints[endpoints/2].Address)
			So(&second.Services[0].Model.Replicas[0].Stages[0], ShouldEqual, &first.Services[0].Model.Replicas[0].Stages[0])
		})
		Convey("faults in a piece, in the frame and across pieces have their place in the whole text", func() {
			for _, change := range []func(*Document){
				func(d *Document) { d.Endpoints[endpoints-1].Address = "nowhere" },
				func(d *Document) { d.Endpoints[endpoints-1].Name = "gpu-00000" },
				func(d *Document) { d.Services[1].Model.Replicas[0].Stages[0].Endpoint = "gpu-x" },
				func(d *Document) { d.Teams[0].Weight = -1 },
			} {
				text := largeText(t, endpoints, change)
				_, err := p.Parse(text)
				_, want := Parse(text)
				So(want, ShouldNotBeNil)
				So(fmt.Sprint(err), ShouldEqual, want.Error())
			}
		})
		Convey("a field that stands twice is refused, also one that is cut into pieces", func() {
			text := largeText(t, endpoints, unchanged)
			twice := bytes.Replace(text, []byte(`"services":`), []byte(`"endpoints":[],"services":`), 1)
			_, err := p.Parse(twice)
			So(fmt.Sprint(err), ShouldContainSubstring, "endpoints: the field appears twice")
		})
	})
}

// However a text is changed, a Parser that has read another before returns what
// Parse does, and the pieces of a text are the text.
func FuzzParser(f *testing.F) {
	f.Add(uint16(60), `"endpoints":[`, `"endpoints":[ ,`)
	f.Add(uint16(60), `"name":"gpu-00030"`, `"name":"gpu-00031"`)
	f.Add(uint16(60), `},{"name":"gpu-00030"`, "} ,\n {\"name\":\"gpu-00030\"")
	f.Add(uint16(60), `"replicas":[`, `"replicas":[],"replicas":[`)
	f.Add(uint16(3), `"weight":2`, `"weight":"2"`)
	f.Fuzz(func(t *testing.T, endpoints uint16, old, new string) {
		sound := largeText(t, int(endpoints%100), unchanged)
		p := &Parser{sizes: pieceSizes{min: 512, max: 2048}}
		_, _ = p.Parse(sound) // fills the cache; without endpoints the text is faulty
		text := bytes.Replace(sound, []byte(old), []byte(new), 1)
		var joined []byte
		for _, each := range split(text, p.sizes) {
			if len(each.text) > p.sizes.max {
				t.Fatalf("a piece has %d bytes", len(each.text))
			}
			joined = append(joined, each.text...)
		}
		if !bytes.Equal(joined, text) {
			t.Fatal("the pieces are not the text")
		}
		doc, err := p.Parse(text)
		whole, want := Parse(text)
		if fmt.Sprint(err) != fmt.Sprint(want) || !reflect.DeepEqual(doc, whole) {
			t.Fatalf("a parser says %v, Parse %v", err, want)
		}
	})
}

// BenchmarkChange reads a text in which one endpoint has changed.
func BenchmarkChange(b *testing.B) {
	for _, size := range []int{10, 100, 1000, 5000, 10_000} {
		texts := [][]byte{largeText(b, size, unchanged), largeText(b, size, moveOne)}
		b.Run(fmt.Sprintf("whole/%d", size), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				Parse(texts[i%2])
			}
		})
		b.Run(fmt.Sprintf("pieces/%d", size), func(b *testing.B) {
			p := &Parser{}
			p.Parse(texts[1])
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				if _, err := p.Parse(texts[i%2]); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
