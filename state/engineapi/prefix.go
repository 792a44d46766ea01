package engineapi

import (
	"hash/fnv"
	"strings"
)

// PrefixBlock is how many words of a prompt one block of prefix cache holds.
const PrefixBlock = 16

// PrefixHashes returns the hashes by which cache events name the prefixes of a
// prompt, the shortest first, at most limit of them: the n-th is the FNV-1a of the
// prompt's first n blocks of words, each word followed by a space. A part of a
// block has none.
func PrefixHashes(messages []Message, limit int) []uint64 {
	var hashes []uint64
	h := fnv.New64a()
	words := 0
	for _, m := range messages {
		for word := range strings.FieldsSeq(m.Content) {
			if len(hashes) == limit {
				return hashes
			}
			h.Write([]byte(word))
			h.Write([]byte{' '})
			words++
			if words%PrefixBlock == 0 {
				hashes = append(hashes, h.Sum64())
			}
		}
	}
	return hashes
}
