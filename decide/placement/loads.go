package placement

import "time"

// Load is a run of layers, both inclusive, that an engine has to fetch.
type Load struct {
	Endpoint    string
	First, Last int
	Bytes       int64
	// After is when the fetch may begin, counted from the first one's start.
	After time.Duration
}

// Loads lists what a new cut makes engines fetch that they do not hold by the
// old one, one after the other, so that together they keep to the weight
// store's rate. Begun at once, they would all be slowed down by the rate and
// no stage would be ready early. bytesPerSecond of zero means no limit.
func Loads(model Model, old, next Cut, bytesPerSecond int64) []Load {
	var loads []Load
	after := time.Duration(0)
	for _, stage := range next.Stages {
		for _, missing := range notHeld(stage, old) {
			missing.Bytes = int64(missing.Last-missing.First+1) * model.LayerBytes
			missing.After = after
			loads = append(loads, missing)
			after += fetchTime(missing.Bytes, bytesPerSecond)
		}
	}
	return loads
}

// notHeld returns the runs of a stage's layers that its engine did not hold.
func notHeld(stage Stage, old Cut) []Load {
	held := Stage{First: 0, Last: -1}
	for _, s := range old.Stages {
		if s.Endpoint == stage.Endpoint {
			held = s
		}
	}
	if held.Last < stage.First || held.First > stage.Last {
		return []Load{{Endpoint: stage.Endpoint, First: stage.First, Last: stage.Last}}
	}
	var missing []Load
	if stage.First < held.First {
		missing = append(missing, Load{Endpoint: stage.Endpoint, First: stage.First, Last: held.First - 1})
	}
	if stage.Last > held.Last {
		missing = append(missing, Load{Endpoint: stage.Endpoint, First: held.Last + 1, Last: stage.Last})
	}
	return missing
}

func fetchTime(bytes, bytesPerSecond int64) time.Duration {
	if bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(bytesPerSecond) * float64(time.Second))
}
