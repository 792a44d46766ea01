package server

import (
	"fmt"
	"testing"

	"github.com/cicadatack/cicadatack/decide/entrypoints"
)

// A node of the failure domain keeps its plans, as only its streams measure the
// hops there; another takes the turn while the domain has none that stays.
func TestPlanKeeperIsNear(t *testing.T) {
	var members []entrypoints.Member
	for i := range 9 {
		domain := []string{"bandung", "bekasi", "bogor"}[i%3]
		members = append(members, entrypoints.Member{ID: fmt.Sprint("entry-", i), FailureDomain: domain})
	}
	domainOf := func(id string) string {
		for _, m := range members {
			if m.ID == id {
				return m.FailureDomain
			}
		}
		return ""
	}
	for i := range 20 {
		model := fmt.Sprint("model-", i)
		if keeper := planKeeper(model, "bogor", members); domainOf(keeper) != "bogor" {
			t.Errorf("%s keeps the plans of bogor", keeper)
		}
	}
	for i := range members {
		members[i].Draining = members[i].FailureDomain == "bogor"
	}
	if keeper := planKeeper("model-1", "bogor", members); keeper == "" || domainOf(keeper) == "bogor" {
		t.Errorf("%q keeps the plans while bogor's nodes leave", keeper)
	}
	if keeper := planKeeper("model-1", "bogor", nil); keeper != "" {
		t.Errorf("%q of no members keeps plans", keeper)
	}
}
