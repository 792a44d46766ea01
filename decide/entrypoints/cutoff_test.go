package entrypoints

import "testing"

// Guards against callers who are sent to nodes that can only pass their requests on, and against
// a few nodes that get all callers because most nodes are cut off.
func TestCutOffNodesAreLeftOutWhileEnoughRemain(t *testing.T) {
	for _, c := range []struct{ nodes, cutOff, want int }{
		{9, 0, 9}, {9, 1, 8}, {9, 4, 5}, {9, 5, 9}, {9, 9, 9}, {2, 1, 1}, {1, 1, 1}, {0, 0, 0},
	} {
		list := members(c.nodes, 3)
		cut := map[string]bool{}
		for _, m := range list[:c.cutOff] {
			cut[m.ID] = true
		}
		if got := len(LeaveOutCutOff(list, func(id string) bool { return cut[id] })); got != c.want {
			t.Errorf("%d of %d nodes are cut off: %d are named, want %d", c.cutOff, c.nodes, got, c.want)
		}
	}
}
