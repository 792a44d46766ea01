package stream

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cicadatack/cicadatack/state/engineapi"
	. "github.com/smartystreets/goconvey/convey"
	"pgregory.net/rapid"
)

// spansOf returns spans, given the first and last layer of each.
func spansOf(firstAndLastLayers ...int) []engineapi.Span {
	var spans []engineapi.Span
	for i := 0; i+1 < len(firstAndLastLayers); i += 2 {
		spans = append(spans, engineapi.Span{First: firstAndLastLayers[i], Last: firstAndLastLayers[i+1]})
	}
	return spans
}

func TestCheckReasons(t *testing.T) {
	const maxInt = int(^uint(0) >> 1)
	valid := engineapi.TokenTrace{Stream: "s", Epoch: 2, Position: 0, Spans: spansOf(0, 3, 4, 7)}
	with := func(change func(*engineapi.TokenTrace)) engineapi.TokenTrace {
		trace := valid
		change(&trace)
		return trace
	}
	layers := func(firstAndLastLayers ...int) engineapi.TokenTrace {
		return with(func(t *engineapi.TokenTrace) { t.Spans = spansOf(firstAndLastLayers...) })
	}
	cases := []struct {
		name  string
		trace engineapi.TokenTrace
		want  Reason
	}{
		{"good", valid, Accepted},
		{"other stream", with(func(t *engineapi.TokenTrace) { t.Stream = "x" }), ForeignStream},
		{"old epoch", with(func(t *engineapi.TokenTrace) { t.Epoch = 1 }), OldEpoch},
		{"future epoch", with(func(t *engineapi.TokenTrace) { t.Epoch = 3 }), FutureEpoch},
		{"position repeated", with(func(t *engineapi.TokenTrace) { t.Position = -1 }), WrongPosition},
		{"position left out", with(func(t *engineapi.TokenTrace) { t.Position = 1 }), WrongPosition},
		{"no spans", layers(), SkippedLayer},
		{"first layer skipped", layers(1, 7), SkippedLayer},
		{"last layer skipped", layers(0, 6), SkippedLayer},
		{"gap", layers(0, 3, 5, 7), SkippedLayer},
		{"layer twice", layers(0, 3, 3, 7), RepeatedLayer},
		{"order", layers(4, 7, 0, 3), SkippedLayer},
		{"all twice", layers(0, 7, 0, 7), RepeatedLayer},
		{"beyond", layers(0, 8), BadSpan},
		{"turned", layers(3, 0), BadSpan},
		{"negative", layers(-1, 7), BadSpan},
		{"overflow", layers(0, maxInt), BadSpan},
	}
	Convey("Each fault has its reason, and only a valid token advances the position", t, func() {
		for _, c := range cases {
			check := NewTokenCheck("s", 8, 10)
			check.StartEpoch(2)
			So(fmt.Sprint(c.name, ": ", check.Verify(&c.trace)), ShouldEqual, fmt.Sprint(c.name, ": ", c.want))
			So(check.NextPosition() == 1, ShouldEqual, c.want == Accepted)
		}
	})
	Convey("A token beyond the maximum length is rejected", t, func() {
		check := NewTokenCheck("s", 8, 0)
		check.StartEpoch(2)
		So(check.Verify(&valid), ShouldEqual, AnswerTooLong)
	})
}

// TestCheckMatchesReference draws spans at random and compares TokenCheck with a simple
// reference, which lists the layers of all spans and requires 0, 1, ..., layers-1.
func TestCheckMatchesReference(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		layers := rapid.IntRange(1, 6).Draw(t, "layers")
		firstAndLastLayers := rapid.SliceOfN(rapid.IntRange(-1, 7), 0, 8).Draw(t, "pairs")
		trace := engineapi.TokenTrace{Stream: "s", Epoch: 1, Spans: spansOf(firstAndLastLayers...)}
		check := NewTokenCheck("s", layers, 10)
		check.StartEpoch(1)
		accepted := check.Verify(&trace) == Accepted
		if accepted != coversLayersInOrder(trace.Spans, layers) {
			t.Fatalf("accepted=%v for %+v of %d layers", accepted, trace.Spans, layers)
		}
	})
}

func coversLayersInOrder(spans []engineapi.Span, layers int) bool {
	nextLayer := 0
	for _, s := range spans {
		if s.Last < s.First {
			return false
		}
		for layer := s.First; layer <= s.Last; layer++ {
			if layer != nextLayer {
				return false
			}
			nextLayer++
		}
	}
	return nextLayer == layers
}

func BenchmarkCheck(b *testing.B) { benchCheck(b, engineapi.Artifact{}) }

// BenchmarkCheckWithArtifact measures the check if each span names weights and an adapter.
func BenchmarkCheckWithArtifact(b *testing.B) {
	benchCheck(b, engineapi.Artifact{Weights: "2026-12", Adapter: "reorder-notes@3"})
}

func benchCheck(b *testing.B, artifact engineapi.Artifact) {
	for _, stages := range []int{2, 8, 32} {
		b.Run(fmt.Sprint("stages=", stages), func(b *testing.B) {
			trace := engineapi.TokenTrace{Stream: "stream-0123456789", Epoch: 1}
			for i := range stages {
				trace.Spans = append(trace.Spans, engineapi.Span{First: 2 * i, Last: 2*i + 1, Artifact: engineapi.Artifact{
					Weights: strings.Clone(artifact.Weights), Adapter: strings.Clone(artifact.Adapter),
				}})
			}
			check := NewTokenCheck(string([]byte("stream-0123456789")), 2*stages, b.N+1)
			check.StartEpoch(1)
			check.RequireArtifact(artifact)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				trace.Position = i
				if check.maxTokens = i + 1; check.Verify(&trace) != Accepted {
					b.Fatal("valid token rejected")
				}
			}
		})
	}
}
