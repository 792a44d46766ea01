package document

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

func soundText(t testing.TB) []byte {
	text, err := os.ReadFile("testdata/dawn.json")
	if err != nil {
		t.Fatal(err)
	}
	return text
}

// faultsOf returns what Parse says of a text, one fault a line.
func faultsOf(text []byte) string {
	_, err := Parse(text)
	var faults *Faults
	if !errors.As(err, &faults) {
		return fmt.Sprint(err)
	}
	return faults.Error()
}

func TestParse(t *testing.T) {
	Convey("A sound text is read", t, func() {
		doc, err := Parse(soundText(t))
		So(err, ShouldBeNil)
		So(doc.Services[0].Model.Replicas[0].Stages[1].Layers, ShouldResemble, []int{16, 31})
		So(doc.Teams[0].Weight, ShouldEqual, 2)
	})
	cases := []struct{ old, new, want string }{
		{`"format": 1`, `"format": 2`, `format: is 2; this program reads format 1`},
		{`"format": 1,`, ``, `format: is missing; this program reads format 1`},
		{`"format": 1`, `"format": "1"`, `format: must be a whole number, is a string`},
		{`"policy": {`, `"polices": {}, "policy": {`, `polices: unknown field`},
		{`"policy": {`, `"Policy": {}, "policy": {`, `Policy: unknown field`},
		{`"weight": 2`, `"weight": 2, "weight": 3`, `teams[0].weight: the field appears twice`},
		{`"weight": 2`, `"weight": "2"`, `teams[0].weight: must be a number, is a string`},
		{`"weight": 2`, `"weight": -1`, `teams[0].weight: is -1, must be above 0 and at most 1e+06`},
		{`"weight": 2`, `"weight": 1e999`, `teams[0].weight: 1e999 is out of range`},
		{`"weight": 2, `, ``, `teams[0].weight: is 0, must be above 0 and at most 1e+06`},
		{`"layers": 32`, `"layers": 32.5`, `services[0].model.layers: must be a whole number, is 32.5`},
		{`"layers": 32`, `"layers": null`, `services[0].model.layers: must be a whole number, is null`},
		{`"checks_fencing": true`, `"checks_fencing": 1`, `endpoints[1].checks_fencing: must be true or false, is a number`},
		{`"name": "e2"`, `"name": "e1"`, `endpoints[1].name: "e1" is used twice` + "\n" +
			`services[0].model.replicas[0].stages[1].endpoint: no endpoint is named "e2"`},
		{`127.0.0.1:9002`, `127.0.0.1:9001`, `endpoints[1].address: "127.0.0.1:9001" is used twice`},
		{`127.0.0.1:9002`, `engine.example:9002`, `endpoints[1].address: "engine.example:9002" is not an IP number and port`},
		{`127.0.0.1:9002`, `127.0.0.1`, `endpoints[1].address: "127.0.0.1" is not an IP number and port`},
		{`"endpoint": "e2"`, `"endpoint": "e9"`, `services[0].model.replicas[0].stages[1].endpoint: no endpoint is named "e9"`},
		{`"endpoint": "e2"`, `"endpoint": "e1"`, `services[0].model.replicas[0].stages[1].endpoint: "e1" is used twice`},
		{`[16, 31]`, `[17, 31]`, `services[0].model.replicas[0].stages[1].layers: starts at layer 17, must start at 16`},
		{`[16, 31]`, `[15, 31]`, `services[0].model.replicas[0].stages[1].layers: starts at layer 15, must start at 16`},
		{`[16, 31]`, `[16, 30]`, `services[0].model.replicas[0].stages: the stages end at layer 30, the model at 31`},
		{`[16, 31]`, `[16]`, `services[0].model.replicas[0].stages[1].layers: must be the first and the last layer`},
		{`, "layers": [16, 31]`, ``, `services[0].model.replicas[0].stages[1].layers: all stages of a replica name their layers, or none does`},
		{`"kind": "plain"`, `"kind": "model"`, `services[1].model: is missing in a service of kind "model"` + "\n" +
			`services[1].plain: does not belong in a service of kind "model"`},
		{`"kind": "plain"`, `"kind": "queue"`, `services[1].kind: "queue" is neither "model" nor "plain"`},
		{`"endpoints": ["e3"]`, `"endpoints": ["e3", "e3"]`, `services[1].plain.endpoints[1]: "e3" is used twice`},
		{`"method": "POST"`, `"method": "post"`, `services[1].plain.non_idempotent[0].method: "post" is not a method in capitals`},
		{`"path": "/orders"`, `"path": "orders"`, `services[1].plain.non_idempotent[0].path: "orders" must begin with a slash`},
		{`2bb80d`, `2BB80D`, `teams[0].key_sha256[0]: must be a SHA-256 in 64 lower-case hex digits`},
		{`["pastry-llm", "stock-ledger"]`, `["pastry"]`, `teams[0].services[0]: no service is named "pastry"`},
		{`"retry_budget": 0.1`, `"retry_budget": 7`, `policy.retry_budget: is 7, must be from 0 to 1`},
		{`"failure_domain": "bandung"`, `"failure_domain": "bogor"`, `endpoints[0].failure_domain: no failure domain is named "bogor"`},
		{`"environment": "dawn"`, `"environment": "Dawn/x"`, `environment: "Dawn/x" is not a name: lower-case letters, digits, '.', '_' and '-', at most 64`},
		{`"policy": {`, `"policy": {}} {`, `not JSON: at byte 1179: text after the document's end`},
	}
	Convey("Each fault is reported with its path", t, func() {
		for _, c := range cases {
			text := strings.Replace(string(soundText(t)), c.old, c.new, 1)
			So(text, ShouldNotEqual, string(soundText(t)))
			So(faultsOf([]byte(text)), ShouldEqual, c.want)
		}
	})
	open := strings.NewReplacer(`, "layers": [0, 15]`, ``, `, "layers": [16, 31]`, ``).Replace
	const notes = `{"name": "notes", "version": "1", "bytes": 5, "replicas": 1, "teams": ["bogor"]}`
	artifacts := []struct{ model, want string }{
		{`"version": "v2", "rollout_part": 1, "adapters": [` + notes + `]`, ``},
		{`"version": "V2", "rollout_part": 1`, `services[0].model.version: "V2" is not a name: lower-case letters, digits, '.', '_' and '-', at most 64`},
		{`"version": "v2"`, `services[0].model.rollout_part: is 0.5: of the 1 replicas in failure domain "bandung" none may be taken, so no version could follow "v2"`},
		{`"rollout_part": 2`, `services[0].model.rollout_part: is 2, must be from 0 to 1`},
		{`"adapters": [` + notes + `, ` + notes + `]`, `services[0].model.adapters[1].name: "notes" is used twice` + "\n" +
			`services[0].model.adapters[1].teams[0]: "bogor" is used twice`},
		{`"adapters": [{"name": "a:b", "version": "", "bytes": 0, "replicas": 0, "teams": ["x"]}]`,
			`services[0].model.adapters[0].name: "a:b" is not a name: lower-case letters, digits, '.', '_' and '-', at most 64` + "\n" +
				`services[0].model.adapters[0].version: is missing` + "\n" +
				`services[0].model.adapters[0].bytes: is 0, must be from 1 to 1099511627776` + "\n" +
				`services[0].model.adapters[0].replicas: is 0, must be from 1 to 1048576` + "\n" +
				`services[0].model.adapters[0].teams[0]: no team is named "x"`},
	}
	Convey("So is each fault of versions and adapters", t, func() {
		for _, c := range artifacts {
			text := strings.Replace(open(string(soundText(t))), `"layers": 32`, `"layers": 32, `+c.model, 1)
			_, err := Parse([]byte(text))
			if c.want == "" {
				So(err, ShouldBeNil)
				continue
			}
			So(faultsOf([]byte(text)), ShouldEqual, c.want)
		}
		named := strings.Replace(string(soundText(t)), `"layers": 32`, `"layers": 32, "rollout_part": 1, "version": "v2"`, 1)
		So(faultsOf([]byte(named)), ShouldStartWith, `services[0].model.version: replica "`)
	})
	Convey("All faults are reported at once", t, func() {
		text := strings.NewReplacer(`"weight": 2`, `"weight": true`, `"e9"`, `"x"`, `[16, 31]`, `[16, 40]`,
			`"layer_megabytes"`, `"layer_mb"`).Replace(string(soundText(t)))
		So(strings.Split(faultsOf([]byte(text)), "\n"), ShouldResemble, []string{
			`services[0].model.layer_mb: unknown field`,
			`teams[0].weight: must be a number, is a boolean`,
			`services[0].model.replicas[0].stages[1].layers: ends at layer 40, the model's last is 31`,
		})
	})
	Convey("Texts of the wrong kind are refused", t, func() {
		for text, want := range map[string]string{
			``:                       `not JSON: at byte 0: unexpected EOF`,
			`[]`:                     `must be an object, is a list`,
			`{"format":1`:            `not JSON: at byte 11: unexpected EOF`,
			"{\"a\":\"\xff":          `not JSON: the text is not valid UTF-8`,
			strings.Repeat("[", 100): `not JSON: at byte 33: nested deeper than 32`,
			string(bytes.Repeat([]byte(" "), 4<<20+1)): `the text has 4194305 bytes, more than 4194304`,
		} {
			So(faultsOf([]byte(text)), ShouldEqual, want)
		}
	})
}

func TestDiff(t *testing.T) {
	Convey("A difference is given by path, and named elements are matched by name", t, func() {
		text := string(soundText(t))
		edited := strings.Replace(text, `"endpoints": [`, `"endpoints": [
			{"name": "e0", "address": "127.0.0.1:9000", "failure_domain": "bekasi"},`, 1)
		edited = strings.Replace(edited, `127.0.0.1:9003`, `127.0.0.1:9004`, 1)
		edited = strings.Replace(edited, `, "retry_budget": 0.1`, ``, 1)
		var lines []string
		for _, change := range Diff([]byte(text), []byte(edited)) {
			lines = append(lines, change.String())
		}
		So(lines, ShouldResemble, []string{
			`~ endpoints["e3"].address: "127.0.0.1:9003" -> "127.0.0.1:9004"`,
			`+ endpoints["e0"]: {"address":"127.0.0.1:9000","failure_domain":"bekasi","name":"e0"}`,
			`- policy.retry_budget: 0.1`,
		})
		So(Diff([]byte(text), []byte(text)), ShouldBeEmpty)
		So(len(Diff(nil, []byte(text))), ShouldEqual, 1)
	})
}

func TestValidName(t *testing.T) {
	Convey("Names begin and end with a letter or digit and have at most 64 bytes", t, func() {
		for _, good := range []string{"a", "7", "ab", "a.b_c-d", strings.Repeat("a", 64)} {
			So(ValidName(good), ShouldBeTrue)
		}
		for _, bad := range []string{"", "-", ".a", "a.", "a/b", "A", "a b", "é", "a\n", strings.Repeat("a", 65)} {
			So(ValidName(bad), ShouldBeFalse)
		}
	})
}

func soundIndex(t testing.TB) Index {
	text := soundText(t)
	return Index{
		Revision: 7, PromotionID: "p7", Digest: Digest(text), Operator: "siti",
		At: time.UnixMilli(1_700_000_000_000).UTC(), Base: 6, Parts: Refs(Parts(text)),
	}
}

func TestIndex(t *testing.T) {
	Convey("Given an encoded index", t, func() {
		index := soundIndex(t)
		value, err := index.Encode()
		So(err, ShouldBeNil)
		Convey("it reads back as it was", func() {
			read, err := DecodeIndex(value)
			So(err, ShouldBeNil)
			So(read, ShouldResemble, index)
		})
		Convey("damaged, oversized and unknown ones are refused", func() {
			edit := func(old, new string) []byte { return bytes.Replace(value, []byte(old), []byte(new), 1) }
			refs := func(refs ...PartRef) []byte {
				value, err := Index{Revision: 1, PromotionID: "p", Parts: refs}.Encode()
				So(err, ShouldBeNil)
				return value
			}
			for want, bad := range map[string][]byte{
				"format 3; this program reads 2":   edit(`"format":2`, `"format":3`),
				"trial and promote the text again": edit(`"format":2`, `"format":1`),
				"no revision or no":                edit(`"revision":7`, `"revision":0`),
				"or no promotion id":               edit(`"p7"`, `""`),
				"not JSON of":                      value[:len(value)/2],
				"more than 1048576":                make([]byte, MaxRecordBytes+1),
				"expected form: json: ":            edit(`"revision":7`, `"revision":"7"`),
				"list of parts is malformed":       edit(`"parts":"`, `"parts":"AAAA`),
				"a part of 0 bytes":                refs(PartRef{}),
				"a part of 65537 bytes":            refs(PartRef{Bytes: maxPieceBytes + 1}),
				"more than 4194304 bytes together": refs(slices.Repeat([]PartRef{{Bytes: maxPieceBytes}}, 65)...),
			} {
				_, err := DecodeIndex(bad)
				So(err, ShouldNotBeNil)
				So(err.Error(), ShouldContainSubstring, want)
			}
		})
	})
}

// A part's value in the store was damaged, cut off or replaced, or unpacks to
// gigabytes. It is refused for what it is, as is a text of other parts than the
// index means.
func TestParts(t *testing.T) {
	Convey("Given the parts of a large text", t, func() {
		text := largeText(t, 2000, unchanged)
		parts := Parts(text)
		So(len(parts), ShouldBeGreaterThan, 5)
		index := Index{Digest: Digest(text), Parts: Refs(parts)}
		var list [][]byte
		for _, part := range parts {
			value, err := part.Encode()
			So(err, ShouldBeNil)
			read, err := DecodePart(part.Ref, value)
			So(err, ShouldBeNil)
			list = append(list, read)
		}
		Convey("they are the text again, in their order only", func() {
			joined, err := index.Join(list)
			So(err, ShouldBeNil)
			So(bytes.Equal(joined, text), ShouldBeTrue)
			list[1], list[2] = list[2], list[1]
			_, err = index.Join(list)
			So(errors.Is(err, ErrPart), ShouldBeTrue)
		})
		Convey("bad values are refused", func() {
			first, second := parts[1], parts[2]
			value, _ := first.Encode()
			other, _ := second.Encode()
			bomb, _ := Part{Text: make([]byte, 8<<20)}.Encode()
			changed := bytes.ToUpper(first.Text)
			upper, _ := Part{Text: changed}.Encode()
			for want, bad := range map[string][]byte{
				"cannot be unpacked": []byte("no gzip"),
				"unexpected EOF":     value[:len(value)/2],
				"another digest":     upper,
				fmt.Sprintf("does not have %d bytes", first.Ref.Bytes): bomb,
				"does not have": other,
			} {
				_, err := DecodePart(first.Ref, bad)
				So(errors.Is(err, ErrPart), ShouldBeTrue)
				So(err.Error(), ShouldContainSubstring, want)
			}
		})
		Convey("a change of one endpoint changes few of them", func() {
			known := map[PartDigest]bool{}
			for _, part := range parts {
				known[part.Ref.Digest] = true
			}
			for _, change := range []func(*Document){moveOne, func(d *Document) {
				d.Endpoints = slices.Insert(d.Endpoints, len(d.Endpoints)/2, Endpoint{Name: "new", Address: "10.9.9.9:1", FailureDomain: "bandung"})
			}} {
				differ := 0
				for _, part := range Parts(largeText(t, 2000, change)) {
					if !known[part.Ref.Digest] {
						differ++
					}
				}
				So(differ, ShouldBeBetweenOrEqual, 1, 3)
			}
		})
	})
}

// A few packed kilobytes stand for 64 MB. They are refused before they take that
// much memory, or one bad value in the store could end every node.
func TestPackedPartTakesBoundedMemory(t *testing.T) {
	bomb, err := Part{Text: make([]byte, 64<<20)}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err = DecodePart(PartRef{Bytes: maxPieceBytes}, bomb)
	runtime.ReadMemStats(&after)
	if taken := after.TotalAlloc - before.TotalAlloc; err == nil || taken > 4<<20 {
		t.Fatalf("error %v after %d bytes", err, taken)
	}
}

// Whatever the text, Parse returns a document or faults, never both or
// neither, and what it accepts it accepts again.
func FuzzParse(f *testing.F) {
	f.Add(soundText(f))
	f.Add([]byte(`{"format":1,"teams":[{"name":"a","name":"b"}]}`))
	f.Add([]byte(`{"format":1,"services":[{"kind":"model","model":{"replicas":[{"stages":[{"layers":[1]}]}]}}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		doc, err := Parse(text)
		if (doc == nil) == (err == nil) {
			t.Fatalf("document %v, error %v", doc, err)
		}
		var faults *Faults
		if err != nil && (!errors.As(err, &faults) || len(faults.List) == 0) {
			t.Fatalf("an error without faults: %v", err)
		}
		if changes := Diff(text, text); len(changes) > 0 && err == nil {
			t.Fatalf("a text differs from itself: %v", changes)
		}
	})
}

// Whatever the value, DecodeIndex refuses it or returns an index that encodes
// and reads back as the same, and names no more text than is read.
func FuzzDecodeIndex(f *testing.F) {
	value, err := soundIndex(f).Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Add([]byte(`{"format":2,"revision":1,"promotion_id":"p","parts":""}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		index, err := DecodeIndex(value)
		if err != nil {
			return
		}
		total := 0
		for _, ref := range index.Parts {
			total += ref.Bytes
		}
		if total > MaxTextBytes {
			t.Fatalf("the parts have %d bytes", total)
		}
		again, err := index.Encode()
		if err != nil {
			return
		}
		read, err := DecodeIndex(again)
		if err != nil || !slices.Equal(read.Parts, index.Parts) || read.Digest != index.Digest {
			t.Fatalf("does not read back: %v", err)
		}
	})
}
