package placement

import "time"

// FetchBytes is what an engine that holds one run of a model's layers has to fetch
// to hold another. held with Last below First holds nothing.
func FetchBytes(model Model, held, want Stage) int64 {
	common := min(held.Last, want.Last) - max(held.First, want.First) + 1
	missing := want.Last - want.First + 1 - max(common, 0)
	return int64(missing) * model.LayerBytes
}

// FetchTime is how long the weight store takes for that at its full rate, in bytes
// a second; a rate of zero means no limit.
func FetchTime(bytes, bytesPerSecond int64) time.Duration {
	if bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(bytesPerSecond) * float64(time.Second))
}
