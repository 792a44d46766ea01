package engine

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/bits"
	"strings"

	"github.com/cicadatack/cicadatack/state/engineapi"
)

// DefaultMaxTokens is the length of an answer when a request names none.
const DefaultMaxTokens = 16

const (
	mixAdd      = 0x9E3779B97F4A7C15
	mixMultiply = 0xBF58476D1CE4E5B9
	mixRotate   = 23
	mixShift    = 31
	vocabBits   = 4
)

// vocabulary gives tokens a readable part; its length is 1<<vocabBits.
var vocabulary = [1 << vocabBits]string{
	"butter", "flour", "cream", "sugar", "pellet", "barge", "tide", "pen",
	"order", "stock", "plan", "dawn", "slack", "feed", "shop", "site",
}

// Answer returns the tokens that an undisturbed pipeline of the given number
// of layers gives to messages. maxTokens of zero means DefaultMaxTokens.
func Answer(layers int, messages []engineapi.Message, maxTokens int) []string {
	return AnswerBy(engineapi.Artifact{}, layers, messages, maxTokens)
}

// AnswerBy returns the answer of a version of the weights and an adapter.
func AnswerBy(artifact engineapi.Artifact, layers int, messages []engineapi.Message, maxTokens int) []string {
	state := promptState(messages)
	tokens := make([]string, 0, answerLength(maxTokens))
	for position := range answerLength(maxTokens) {
		hidden := firstHidden(state, position)
		for layer := range layers {
			hidden = runLayer(hidden^salt(artifact), layer)
		}
		token := tokenText(hidden)
		tokens = append(tokens, token)
		state = appendToken(state, token)
	}
	return tokens
}

func answerLength(maxTokens int) int {
	if maxTokens <= 0 {
		return DefaultMaxTokens
	}
	return maxTokens
}

// promptState stands for the attention state after the prompt.
func promptState(messages []engineapi.Message) uint64 {
	h := fnv.New64a()
	for _, m := range messages {
		io.WriteString(h, m.Role)
		h.Write([]byte{0})
		io.WriteString(h, m.Content)
		h.Write([]byte{1})
	}
	return h.Sum64()
}

// appendToken extends the attention state by one token.
func appendToken(state uint64, token string) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%016x%s", state, token)
	return h.Sum64()
}

func firstHidden(state uint64, position int) uint64 {
	return state ^ uint64(position+1)*mixMultiply
}

// runLayer does not commute with itself, so order and count of layers show.
func runLayer(hidden uint64, layer int) uint64 {
	hidden ^= uint64(layer+1) * mixAdd
	hidden = bits.RotateLeft64(hidden, mixRotate) * mixMultiply
	return hidden ^ hidden>>mixShift
}

func tokenText(hidden uint64) string {
	word := vocabulary[hidden>>(64-vocabBits)]
	return fmt.Sprintf(" %s.%04x", word, uint16(hidden))
}

// promptWords counts one model token for each word of the prompt.
func promptWords(messages []engineapi.Message) []string {
	var words []string
	for _, m := range messages {
		words = append(words, strings.Fields(m.Content)...)
	}
	return words
}
