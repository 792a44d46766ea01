package callparser

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/cicadatack/cicadatack/route/outcome"
)

// adapterSeparator stands between a model and an adapter. Names hold none.
const adapterSeparator = ":"

// SplitModel takes the model of a request apart into service and adapter.
func SplitModel(model string) (service, adapter string) {
	service, adapter, _ = strings.Cut(model, adapterSeparator)
	return service, adapter
}

// UseAdapter has the call use the adapter that it asks for or, if it asks for none,
// its team's.
func (c *Call) UseAdapter(name string) *outcome.Refusal {
	if name == "" {
		c.Adapter = c.Service.Model.AdapterOf(c.Team.Name)
		return nil
	}
	if c.Service.Model.Adapter(name) == nil {
		return newRefusal(http.StatusNotFound, "unknown_adapter", fmt.Sprintf("service %q has no adapter %q", c.Service.Name, name))
	}
	c.Adapter = name
	return nil
}
