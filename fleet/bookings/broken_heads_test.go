package bookings

import (
	"context"
	"testing"

	"github.com/cicadatack/cicadatack/state/httpanswer/answertest"
)

// Guards against answers of other nodes whose head is none, and that count as an empty list of what they have booked.
func TestBrokenHeadsAreNoAnswers(t *testing.T) {
	n := start(t, "a", 1)
	for name, answer := range answertest.BrokenHeads("") {
		address := answertest.Serve(t, func(string) string { return answer })
		if err := n.AsLeaf(context.Background(), []Peer{{Name: "b", Address: address}}); err == nil {
			t.Errorf("%s: taken for an answer", name)
		}
	}
}
