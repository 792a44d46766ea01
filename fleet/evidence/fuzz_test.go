package evidence

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cicadatack/cicadatack/decide/poison"
	"github.com/cicadatack/cicadatack/fleet/evidence/evidencepb"
)

// tracking decides about the evidence as a node does.
type tracking struct {
	*poison.Tracker
	now time.Time
}

func (s *tracking) Evidence() poison.Evidence         { return s.Share(s.now) }
func (s *tracking) Changes() int64                    { return 0 }
func (s *tracking) Merge(_ string, e poison.Evidence) { s.Tracker.Merge(s.now, e) }

func FuzzMerge(f *testing.F) {
	for _, millis := range []int64{0, 1, -1, math.MaxInt64, math.MinInt64, math.MaxInt64 / 1000000, 18446744073710} {
		odd := &evidencepb.Evidence{
			Answers:        []*evidencepb.AnsweredPart{{Service: "llm", Part: "a", AgeMillis: millis}},
			ServiceAnswers: []*evidencepb.ServiceAnswer{{Service: "llm", Id: math.MaxUint64, AgeMillis: millis}},
		}
		for i := range int64(3) {
			odd.Crashes = append(odd.Crashes, &evidencepb.ReplicaCrash{
				Service: "llm", Replica: "i-1", Incarnation: millis + i, AgeMillis: millis, Parts: []string{"a", "a", "", "b"},
				SentAgeMillis: []int64{millis, 1}, Progress: []evidencepb.ReplicaCrash_Progress{-1, math.MaxInt32, 2},
			})
		}
		data, err := proto.Marshal(odd)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		s := &tracking{Tracker: poison.New(rand.NewPCG(1, 1)), now: time.Unix(1_800_000_000, 0)}
		if err := Merge(s, "odd", data); err != nil && !Error.Has(err) {
			t.Errorf("an error of another class: %v", err)
		}
		for range 3 {
			for _, i := range s.Isolate(s.now) {
				s.TrialDue(s.now, i.Part, []string{"v"}, 0)
			}
			s.Suspects(s.now)
			shared, err := Encode(s)
			if err != nil {
				return // a text that is no UTF-8; nothing is told
			}
			if err := Merge(s, "again", shared); err != nil {
				t.Errorf("what is told on can't be read: %v", err)
			}
			s.now = s.now.Add(time.Minute)
		}
	})
}
