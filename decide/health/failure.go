package health

// Failure says how an attempt at an endpoint ended.
type Failure uint8

const (
	// None is a complete answer.
	None Failure = iota
	// Unreachable means that no connection came about, so nothing ran.
	Unreachable
	// Timeout means that the endpoint did not answer in the time allowed.
	Timeout
	// Broken means that the answer stopped partway or was malformed.
	Broken
	// Internal means that the endpoint answered with an error of its own.
	Internal
	// Overloaded means that the endpoint refused before work, for want of room.
	Overloaded
	// Leaving means that the endpoint refused before work as it shuts down.
	Leaving
	// Canceled means that the caller gave up; it says nothing of the endpoint.
	Canceled
)

var failureNames = [...]string{
	"none", "unreachable", "timeout", "broken", "internal", "overloaded", "leaving", "canceled",
}

func (f Failure) String() string {
	if int(f) < len(failureNames) {
		return failureNames[f]
	}
	return "invalid"
}

// Faulty reports whether the failure speaks against the endpoint's health.
// Overload and leaving do not: a full endpoint that were ejected would push its
// load onto the next one, which fills in turn.
func (f Failure) Faulty() bool {
	switch f {
	case Unreachable, Timeout, Broken, Internal:
		return true
	}
	return false
}

// ProvesNotRun reports whether the failure alone proves that the endpoint did
// no work for the request.
func (f Failure) ProvesNotRun() bool {
	return f == Unreachable || f == Overloaded || f == Leaving
}
