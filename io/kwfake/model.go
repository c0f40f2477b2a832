package kwfake

import (
	"hash/fnv"
	"strings"

	"knapweedproxy/core/kwid"
)

// Constants of the fake model. Its answers use a small vocabulary, while the tokens of a prompt are 32-bit hashes of
// its words, so that distinct prompts have distinct answers.
const (
	vocabularySize = 1 << 12
	stopModulus    = 113
	// minStopPosition is the first position at which an answer may end, so that answers to short prompts have some
	// words.
	minStopPosition    = 24
	multiplierA        = 0xbf58476d1ce4e5b9
	multiplierB        = 0x94d049bb133111eb
	positionMultiplier = 0x9e3779b97f4a7c15
)

// mix is the finalizer of the SplitMix64 hash.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= multiplierA
	x ^= x >> 27
	x *= multiplierB
	return x ^ x>>31
}

// embed returns the input of layer 0 for a token.
func embed(t kwid.Token) uint64 {
	return mix(uint64(t) + 1)
}

// runLayer advances the state of a layer by one position. The state is a running hash over all inputs, so a repeated,
// missing or reordered run changes all later outputs.
func runLayer(layer kwid.Layer, position kwid.Position, state, hidden uint64) (nextState, out uint64) {
	nextState = mix(state*multiplierA + hidden + uint64(position+1)*positionMultiplier)
	return nextState, mix(nextState ^ uint64(layer+1)*multiplierB)
}

// sample returns the token for an output of the last layer.
func sample(hidden uint64) kwid.Token {
	return kwid.Token(hidden % vocabularySize)
}

// isStopToken reports whether a token ends the answer if it follows the input at the given position.
func isStopToken(t kwid.Token, position kwid.Position) bool {
	return position >= minStopPosition && t%stopModulus == 0
}

var syllables = strings.Fields("ba ke lo mi nu ra se ti vo zu da fe go hi ju pa")

// TokenText returns the text of a token, with a leading space.
func TokenText(t kwid.Token) string {
	n := len(syllables)
	return " " + syllables[int(t)%n] + syllables[int(t)/n%n] + syllables[int(t)/n/n%n]
}

// Tokenize returns one token for each word of a text.
func Tokenize(text string) []kwid.Token {
	var out []kwid.Token
	for _, word := range strings.Fields(text) {
		h := fnv.New32a()
		_, _ = h.Write([]byte(word))
		out = append(out, kwid.Token(h.Sum32()))
	}
	return out
}

// ReferenceAnswer computes the answer of a whole model in one place, as the expected result for answers that several
// engines compute. It returns the text, the number of tokens, and whether a stop token ended the answer.
func ReferenceAnswer(layers int, prompt string, maxTokens int) (text string, tokens int, stopped bool) {
	layerStates := make([]uint64, layers)
	position := kwid.Position(0)
	run := func(t kwid.Token) uint64 {
		hidden := embed(t)
		for l := range layerStates {
			layerStates[l], hidden = runLayer(kwid.Layer(l), position, layerStates[l], hidden)
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
		if isStopToken(t, position-1) {
			return out.String(), tokens, true
		}
		out.WriteString(TokenText(t))
		hidden = run(t)
	}
	return out.String(), tokens, false
}
