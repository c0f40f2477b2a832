// Package kwsequence decides, at each stage of a chain, whether a step of a token sequence is run, replayed or
// refused.
package kwsequence
