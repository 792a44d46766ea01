package health

// Failure is the way in which a request to an endpoint ended.
type Failure uint8

const (
	// None means that the response was complete.
	None Failure = iota
	// Unreachable means that no connection was established, so the endpoint did no work
	// for the request.
	Unreachable
	// Timeout means that the endpoint did not respond within the time allowed.
	Timeout
	// BrokenResponse means that the response stopped partway or was malformed.
	BrokenResponse
	// Internal means that the endpoint responded with an error of its own.
	Internal
	// Overloaded means that the endpoint refused the request before doing work, for lack
	// of capacity.
	Overloaded
	// Leaving means that the endpoint refused the request before doing work, because it
	// is shutting down.
	Leaving
	// PushedBack means that the endpoint refused the request before doing work, and stated for
	// how long it wants no further requests.
	PushedBack
	// Canceled means that the caller gave up, which says nothing about the endpoint's
	// health.
	Canceled
)

var failureNames = [...]string{
	"none", "unreachable", "timeout", "broken", "internal", "overloaded", "leaving", "pushed back", "canceled",
}

func (f Failure) String() string {
	if int(f) < len(failureNames) {
		return failureNames[f]
	}
	return "invalid"
}

// Faulty reports whether the failure counts against the endpoint's health. Overloaded,
// Leaving and PushedBack do not count: ejecting a full endpoint would shift its load to the
// next one, which would then become full as well. An endpoint that states when it wants
// requests again needs no guess of that time.
func (f Failure) Faulty() bool {
	switch f {
	case Unreachable, Timeout, BrokenResponse, Internal:
		return true
	}
	return false
}

// ProvesNotRun reports whether the failure alone proves that the endpoint did no work for
// the request.
func (f Failure) ProvesNotRun() bool {
	return f == Unreachable || f == Overloaded || f == Leaving || f == PushedBack
}
