package kwfake

import (
	"hash/fnv"
	"strings"

	"knapweedproxy/core/kwid"
)

// Constants of the order-sensitive layer function. Answers use a small vocabulary; the words of a prompt have as many
// tokens as their hash, so that distinct prompts have distinct answers.
const (
	vocabulary  = 1 << 12
	stopModulus = 113
	// firstStop is the position before which no answer ends, so that an answer to a short prompt has some words.
	firstStop = 24
	mulA      = 0xbf58476d1ce4e5b9
	mulB      = 0x94d049bb133111eb
	layerStep = 0x9e3779b97f4a7c15
)

func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= mulA
	x ^= x >> 27
	x *= mulB
	return x ^ x>>31
}

// embed turns a token into the input of layer 0.
func embed(t kwid.Token) uint64 {
	return mix(uint64(t) + 1)
}

// runLayer advances a layer's running hash by one position; a repeated, missing or reordered run changes it.
func runLayer(layer kwid.Layer, position kwid.Position, cache, hidden uint64) (nextCache, out uint64) {
	nextCache = mix(cache*mulA + hidden + uint64(position+1)*layerStep)
	return nextCache, mix(nextCache ^ uint64(layer+1)*mulB)
}

// sample turns the output of the last layer into a token.
func sample(hidden uint64) kwid.Token {
	return kwid.Token(hidden % vocabulary)
}

// stops tells whether a token that follows the input at a position ends the answer.
func stops(t kwid.Token, position kwid.Position) bool {
	return position >= firstStop && t%stopModulus == 0
}

var syllables = strings.Fields("ba ke lo mi nu ra se ti vo zu da fe go hi ju pa")

// TokenText returns the text of a token, with a leading space.
func TokenText(t kwid.Token) string {
	n := len(syllables)
	return " " + syllables[int(t)%n] + syllables[int(t)/n%n] + syllables[int(t)/n/n%n]
}

// Tokenize returns the tokens of a text, one a word.
func Tokenize(text string) []kwid.Token {
	var out []kwid.Token
	for _, word := range strings.Fields(text) {
		h := fnv.New32a()
		_, _ = h.Write([]byte(word))
		out = append(out, kwid.Token(h.Sum32()))
	}
	return out
}

// ReferenceAnswer computes the answer of a whole model in one place, for comparison; it returns the tokens' text.
func ReferenceAnswer(layers int, prompt string, maxTokens int) (text string, tokens int, stopped bool) {
	caches := make([]uint64, layers)
	position := kwid.Position(0)
	run := func(t kwid.Token) uint64 {
		hidden := embed(t)
		for l := range caches {
			caches[l], hidden = runLayer(kwid.Layer(l), position, caches[l], hidden)
		}
		position++
		return hidden
	}
	var hidden uint64
	for _, t := range Tokenize(prompt) {
		hidden = run(t)
	}
	var out strings.Builder
	for tokens < maxTokens {
		t := sample(hidden)
		tokens++
		if stops(t, position-1) {
			return out.String(), tokens, true
		}
		out.WriteString(TokenText(t))
		hidden = run(t)
	}
	return out.String(), tokens, false
}
