// Package rendezvous implements rendezvous hashing, by which nodes make the same
// choice without communicating: of the candidates, the one with the highest Score
// wins. When a candidate is added or removed, only the keys that it wins or won
// move; with `hash mod n` nearly all keys would move.
//
// Hash each name once and keep the result; Score takes a few multiplications.
package rendezvous

import "math"

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Hash returns a well-mixed 64-bit hash of s. It must stay the same in every
// process and release, as nodes of different releases have to agree.
func Hash(s string) uint64 {
	h := uint64(fnvOffset)
	for i := 0; i < len(s); i++ {
		h ^= uint64(s[i])
		h *= fnvPrime
	}
	return mix(h)
}

// Score returns the rank of candidate for key; both are results of Hash. The
// arguments are not interchangeable.
func Score(key, candidate uint64) uint64 {
	return mix(key + 0x9e3779b97f4a7c15*(candidate|1))
}

// Weighted returns a rank by which candidates win in proportion to their weight
// (weighted rendezvous hashing). A weight of zero or less never wins.
func Weighted(key, candidate uint64, weight float64) float64 {
	if weight <= 0 {
		return 0
	}
	return -weight / math.Log(ToUnitInterval(Score(key, candidate)))
}

// Unit maps a hash to the open interval between 0 and 1.
func ToUnitInterval(hash uint64) float64 {
	return (float64(hash>>11) + 0.5) / (1 << 53)
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
