package callparser

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/cicadatack/cicadatack/route/outcome"
)

// adapterSeparator stands between the service and the adapter in the model field of a
// request. Names don't contain it.
const adapterSeparator = ":"

// SplitModel splits the model field of a request into service and adapter.
func SplitModel(model string) (service, adapter string) {
	service, adapter, _ = strings.Cut(model, adapterSeparator)
	return service, adapter
}

// UseAdapter sets the call's adapter: the named one or, if name is empty, the adapter
// of the caller's team. An unknown adapter is refused.
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
