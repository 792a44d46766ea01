package modelservice

import (
	"hash/fnv"

	"github.com/cicadatack/cicadatack/state/engineapi"
)

// prefixBytes is how many bytes of the first message are hashed. System prompts and
// templates that callers share are longer.
const prefixBytes = 256

// firstMessageHash returns the hash of the start of the first message, which engines
// are likely to have in their prefix cache. Zero means that there is no message.
func firstMessageHash(messages []engineapi.Message) uint64 {
	if len(messages) == 0 {
		return 0
	}
	text := messages[0].Content
	h := fnv.New64a()
	h.Write([]byte(text[:min(len(text), prefixBytes)]))
	return h.Sum64()
}
