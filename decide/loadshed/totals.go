package loadshed

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// MaxPriority is the largest priority; larger ones count as MaxPriority.
	MaxPriority = 9
	// MaxClasses is the largest number of classes in a report. Reports are exchanged several
	// times a second, and must not grow with the number of teams: 24 classes of some 20 bytes
	// are 1.6 KB/s.
	MaxClasses = 24
	// maxFigure bounds each figure of a valid report, so that sums stay finite.
	maxFigure = 1e9
	// maxAge bounds AwaitingAge and the expected wait. Callers leave much earlier.
	maxAge = time.Hour
	// otherTeams is the team to which the smallest teams of a priority are added if there are
	// more than MaxClasses classes.
	otherTeams = 0
)

// Class identifies the requests of one priority and team.
type Class struct {
	// Priority is 0 for the most urgent requests.
	Priority int
	// Team is a hash of the team's name.
	Team uint32
}

// Demand is what the callers of a class ask for.
type Demand struct {
	// Arrivals is the number of requests per second, refused ones included.
	Arrivals float64
	// Deferred is the number of refused requests whose time to return has not come.
	Deferred float64
	// Teams is the number of teams that were added up to one class because a report had too
	// many; 0 stands for one.
	Teams float64
}

// plus adds the demand of the same class at other nodes. The smallest teams are mostly the same
// ones everywhere, so their number is not added up.
func (d Demand) plus(other Demand) Demand {
	return Demand{Arrivals: d.Arrivals + other.Arrivals, Deferred: d.Deferred + other.Deferred, Teams: max(d.Teams, other.Teams)}
}

// perTeam returns the arrivals per second of one team.
func (d Demand) perTeam() float64 { return d.Arrivals / max(1, d.Teams) }

func (d Demand) times(factor float64) Demand {
	return Demand{Arrivals: d.Arrivals * factor, Deferred: d.Deferred * factor, Teams: d.Teams}
}

// Totals are the figures of one service at some nodes together.
type Totals struct {
	// Nodes is the number of nodes included.
	Nodes int
	// Awaiting is the number of requests that await their first event, and AwaitingAge the
	// mean time since they were sent.
	Awaiting    float64
	AwaitingAge time.Duration
	// FirstEvents is the number of first events per second.
	FirstEvents float64
	// Classes is nil while the demand is far below the capacity.
	Classes map[Class]Demand
}

// Plus returns the sum of t and other.
func (t Totals) Plus(other Totals) Totals {
	sum := t.plusSums(other)
	sum.Classes = make(map[Class]Demand, len(t.Classes)+len(other.Classes))
	maps.Copy(sum.Classes, t.Classes)
	for class, demand := range other.Classes {
		sum.Classes[class] = sum.Classes[class].plus(demand)
	}
	return sum
}

// plusSums returns the sum of t and other without the classes.
func (t Totals) plusSums(other Totals) Totals {
	sum := Totals{Nodes: t.Nodes + other.Nodes, Awaiting: t.Awaiting + other.Awaiting, FirstEvents: t.FirstEvents + other.FirstEvents}
	if sum.Awaiting > 0 {
		ages := t.Awaiting*float64(t.AwaitingAge) + other.Awaiting*float64(other.AwaitingAge)
		sum.AwaitingAge = min(time.Duration(ages/sum.Awaiting), maxAge)
	}
	return sum
}

// wait returns the time to the first event that a new request can expect.
func (t Totals) wait() time.Duration {
	if t.Awaiting <= 0 {
		return 0
	}
	if t.FirstEvents <= 0 {
		return t.AwaitingAge
	}
	return time.Duration(min(t.Awaiting/t.FirstEvents, maxAge.Seconds()) * float64(time.Second))
}

// Valid reports whether nodes could have sent the figures.
func (t Totals) Valid() bool {
	return t.Nodes >= 1 && len(t.Classes) <= MaxClasses && t.possible()
}

// possible reports whether all figures are in their ranges.
func (t Totals) possible() bool {
	if t.Nodes < 0 || t.Nodes > maxFigure || t.AwaitingAge < 0 || t.AwaitingAge > maxAge || !valid(t.Awaiting) || !valid(t.FirstEvents) {
		return false
	}
	for class, d := range t.Classes {
		if class.Priority < 0 || class.Priority > MaxPriority || !valid(d.Arrivals) || !valid(d.Deferred) || !valid(d.Teams) {
			return false
		}
	}
	return true
}

// valid is false for NaN as well.
func valid(figure float64) bool { return figure >= 0 && figure <= maxFigure }

// Limited returns the totals with at most MaxClasses classes. The smallest teams of each
// priority are added up to one.
func (t Totals) Limited() Totals {
	if len(t.Classes) <= MaxClasses {
		return t
	}
	bySize := slices.SortedFunc(maps.Keys(t.Classes), func(a, b Class) int {
		return cmp.Or(
			cmp.Compare(t.Classes[b].Arrivals, t.Classes[a].Arrivals), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.Team, b.Team))
	})
	var priorities [MaxPriority + 1]int // 1 if there are classes of the priority
	for class := range t.Classes {
		priorities[class.Priority] = 1
	}
	alone := MaxClasses
	for _, n := range priorities {
		alone -= n
	}
	kept := make(map[Class]Demand, MaxClasses)
	for _, class := range bySize {
		demand := t.Classes[class]
		if alone > 0 && class.Team != otherTeams {
			alone--
			kept[class] = demand
			continue
		}
		class.Team = otherTeams
		teams := kept[class].Teams + max(1, demand.Teams)
		merged := kept[class].plus(demand)
		merged.Teams = teams
		kept[class] = merged
	}
	t.Classes = kept
	return t
}

// clampPriority returns the priority in the range of a Class.
func clampPriority(priority int) int {
	return min(max(priority, 0), MaxPriority)
}
