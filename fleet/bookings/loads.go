package bookings

import (
	"maps"
	"time"

	"github.com/cicadatack/cicadatack/decide/loadshed"
	"github.com/cicadatack/cicadatack/fleet/bookings/bookingspb"
)

// maxServices bounds the services whose loads are kept, so that messages with many names can't take
// up the memory.
const maxServices = 64

// loadBoard holds the loads of services that other nodes report. Exchange.mu guards it.
type loadBoard struct {
	services map[string]*serviceLoads
}

// serviceLoads holds the reports on one service.
type serviceLoads struct {
	loadshed.Aggregator
	// reportedAt is the time of the last report.
	reportedAt time.Time
}

// SetLoads sets the source of this node's load by service. Without a source, no loads are reported.
// It is called before the first exchange.
func (e *Exchange) SetLoads(own func() map[string]loadshed.Totals) { e.ownLoads = own }

// OtherLoads returns the load of each service at the other nodes, as far as this node knows it.
func (e *Exchange) OtherLoads() map[string]loadshed.Totals {
	e.mu.Lock()
	defer e.mu.Unlock()
	all := make(map[string]loadshed.Totals, len(e.loads.services))
	for service, board := range e.loads.services {
		all[service] = board.FromOthers(e.now())
	}
	return all
}

// DroppedLoads returns how many reports on services were dropped since the last call because they
// were invalid or there were too many services.
func (e *Exchange) DroppedLoads() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	dropped := e.droppedLoads
	e.droppedLoads = 0
	return dropped
}

// localLoads returns this node's load by service.
func (e *Exchange) localLoads() map[string]loadshed.Totals {
	if e.ownLoads == nil {
		return nil
	}
	return e.ownLoads()
}

func (b *loadBoard) keepOnlyFrom(hub string) {
	for _, board := range b.services {
		board.KeepOnlyFrom(hub)
	}
}

// record stores the reports of a node. It returns how many of them were dropped because they were
// invalid or there were too many services.
func (b *loadBoard) record(now time.Time, node string, fromHub bool, wire []*bookingspb.ServiceLoad) (dropped int) {
	if b.services == nil {
		b.services = map[string]*serviceLoads{}
	}
	// Without this, services that no longer exist would take the place of new ones for good.
	maps.DeleteFunc(b.services, func(_ string, s *serviceLoads) bool { return now.Sub(s.reportedAt) >= loadshed.ValidFor })
	for _, w := range wire {
		totals, ok := loadFromWire(w)
		if !ok || !b.recordService(now, node, fromHub, w.GetService(), totals) {
			dropped++
		}
	}
	return dropped
}

// recordService stores the report of a node on one service. It returns false if the report is invalid
// or maxServices is reached.
func (b *loadBoard) recordService(now time.Time, node string, fromHub bool, service string, totals loadshed.Totals) bool {
	s := b.services[service]
	if s == nil {
		if len(b.services) >= maxServices {
			return false
		}
		s = &serviceLoads{}
		b.services[service] = s
	}
	s.reportedAt = now
	return s.Record(now, node, fromHub, totals)
}

// reply returns the answer to a node, or to another hub.
func (b *loadBoard) reply(now time.Time, own map[string]loadshed.Totals, asker string, askerIsHub bool) []*bookingspb.ServiceLoad {
	var wire []*bookingspb.ServiceLoad
	for service, totals := range own {
		if board := b.services[service]; board != nil {
			totals = board.ReplyTo(now, totals, asker, askerIsHub)
		}
		wire = append(wire, loadToWire(service, totals))
	}
	return wire
}

// loadsToWire writes this node's own load.
func loadsToWire(own map[string]loadshed.Totals) []*bookingspb.ServiceLoad {
	var wire []*bookingspb.ServiceLoad
	for service, totals := range own {
		wire = append(wire, loadToWire(service, totals))
	}
	return wire
}

func loadToWire(service string, t loadshed.Totals) *bookingspb.ServiceLoad {
	wire := &bookingspb.ServiceLoad{
		Service: service, Nodes: int32(t.Nodes), AwaitingFirstEvent: float32(t.Awaiting), AwaitingAge: float32(t.AwaitingAge.Seconds()),
		FirstEvents: float32(t.FirstEvents),
	}
	for class, d := range t.Classes {
		wire.Classes = append(wire.Classes, &bookingspb.ClassLoad{
			Priority: int32(class.Priority), Team: class.Team,
			Arrivals: float32(d.Arrivals), Teams: float32(d.Teams), Deferred: float32(d.Deferred),
		})
	}
	return wire
}

// maxAwaitingAge, in seconds, keeps the conversion to a time.Duration in range. Totals.Valid has a
// lower limit.
const maxAwaitingAge = 24 * 3600

// loadFromWire decodes the report of another node; ok is false if it is invalid.
func loadFromWire(w *bookingspb.ServiceLoad) (t loadshed.Totals, ok bool) {
	age := float64(w.GetAwaitingAge())
	// The negated comparison is true for NaN as well, which has no duration.
	if !(age >= 0 && age <= maxAwaitingAge) || len(w.GetClasses()) > loadshed.MaxClasses {
		return t, false
	}
	t = loadshed.Totals{
		Nodes: int(w.GetNodes()), Awaiting: float64(w.GetAwaitingFirstEvent()), AwaitingAge: time.Duration(age * float64(time.Second)),
		FirstEvents: float64(w.GetFirstEvents()), Classes: make(map[loadshed.Class]loadshed.Demand, len(w.GetClasses())),
	}
	for _, c := range w.GetClasses() {
		t.Classes[loadshed.Class{Priority: int(c.GetPriority()), Team: c.GetTeam()}] = loadshed.Demand{
			Arrivals: float64(c.GetArrivals()), Teams: float64(c.GetTeams()), Deferred: float64(c.GetDeferred()),
		}
	}
	return t, t.Valid()
}
