package placement

import "time"

// FetchBytes returns the number of bytes that an engine which holds the layers of heldStage
// must fetch from the weight store to hold the layers of wantedStage. A stage with Last below
// First has no layers.
func FetchBytes(model Model, heldStage, wantedStage Stage) int64 {
	commonLayers := min(heldStage.Last, wantedStage.Last) - max(heldStage.First, wantedStage.First) + 1
	missingLayers := wantedStage.Last - wantedStage.First + 1 - max(commonLayers, 0)
	return int64(missingLayers) * model.LayerBytes
}

// FetchTime returns how long a fetch takes at the full rate of the weight store. A
// bytesPerSecond of zero means that the rate has no limit.
func FetchTime(bytes, bytesPerSecond int64) time.Duration {
	if bytesPerSecond <= 0 {
		return 0
	}
	return time.Duration(float64(bytes) / float64(bytesPerSecond) * float64(time.Second))
}
