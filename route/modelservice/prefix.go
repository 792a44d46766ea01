package modelservice

import (
	"hash/fnv"

	"github.com/cicadatack/cicadatack/state/engineapi"
)

// prefixBytes is how much of the first message names a prompt's prefix: the
// system prompts and templates that callers share are longer than this.
const prefixBytes = 256

// firstMessageHash names the part of a prompt that engines are likely to have cached;
// zero means none.
func firstMessageHash(messages []engineapi.Message) uint64 {
	if len(messages) == 0 {
		return 0
	}
	text := messages[0].Content
	h := fnv.New64a()
	h.Write([]byte(text[:min(len(text), prefixBytes)]))
	return h.Sum64()
}
