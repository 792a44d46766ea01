// Package rendezvous implements rendezvous hashing, which maps each key to the
// candidate with the highest Score for the key. Nodes map a key to the same candidate
// without communicating. When a candidate is added or removed, only the keys of this
// candidate move. With `hash mod n` nearly all keys would move.
//
// Hash each name once and keep the result: Hash reads the whole name, while Score
// takes only a few multiplications.
package rendezvous

import "math"

const (
	fnvOffset = 14695981039346656037
	fnvPrime  = 1099511628211
)

// Hash returns a well-mixed 64-bit hash of s. The result must stay the same in
// every process and release, because nodes of different releases have to agree on
// the hash.
func Hash(s string) uint64 {
	h := uint64(fnvOffset)
	for i := 0; i < len(s); i++ {
		h ^= uint64(s[i])
		h *= fnvPrime
	}
	return mix(h)
}

// Score returns the score of candidate for key. The arguments are hashes or other
// numbers that identify key and candidate. Key and candidate are not interchangeable.
func Score(key, candidate uint64) uint64 {
	return mix(key + 0x9e3779b97f4a7c15*(candidate|1))
}

// Weighted is Score with weights (weighted rendezvous hashing): each candidate has
// the highest score for a fraction of the keys that is proportional to its weight. A
// candidate with a weight of zero or less never has the highest score.
func Weighted(key, candidate uint64, weight float64) float64 {
	if weight <= 0 {
		return 0
	}
	return -weight / math.Log(ToUnitInterval(Score(key, candidate)))
}

// ToUnitInterval maps a hash to the open interval between 0 and 1.
func ToUnitInterval(hash uint64) float64 {
	return (float64(hash>>11) + 0.5) / (1 << 53)
}

// mix is the finalizer of the splitmix64 generator.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
