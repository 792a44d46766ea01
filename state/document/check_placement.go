package document

// Bounds of the figures that the planner works with.
const (
	maxMicros    = 60e6
	maxMegabytes = 1 << 30
)

// checkPlacement checks what the planner cuts layers by.
func (c *checker) checkPlacement() {
	kinds := c.checkAccelerators()
	c.checkLinks()
	if len(kinds) == 0 {
		return
	}
	for i, e := range c.doc.Endpoints {
		if e.Accelerator != "" {
			c.reference(c.sub(c.at("endpoints", i), ".accelerator"), "kind of accelerator", e.Accelerator, kinds)
		}
	}
}

func (c *checker) checkAccelerators() map[string]bool {
	kinds := map[string]bool{}
	for i, a := range c.doc.Accelerators {
		path := c.at("accelerators", i)
		c.name(c.sub(path, ".name"), a.Name)
		c.unique(c.sub(path, ".name"), a.Name, kinds)
		c.above(c.sub(path, ".layer_us"), a.LayerMicros, maxMicros)
		c.whole(c.sub(path, ".memory_mb"), a.MemoryMegabytes, 1, maxMegabytes)
	}
	return kinds
}

func (c *checker) checkLinks() {
	seen := map[string]bool{}
	for i, l := range c.doc.Links {
		path := c.at("links", i)
		c.reference(c.sub(path, ".from"), "failure domain", l.From, c.domains)
		c.reference(c.sub(path, ".to"), "failure domain", l.To, c.domains)
		c.unique(path, l.From+" to "+l.To, seen)
		c.above(c.sub(path, ".us"), l.Micros, maxMicros)
	}
}

// above wants a figure over zero.
func (c *checker) above(path string, value, high float64) {
	if value <= 0 || value > high {
		c.fault(path, "is %v, must be above 0 and at most %v", value, high)
	}
}
