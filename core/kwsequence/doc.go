// Package kwsequence decides at each stage whether a step of a token sequence runs, is replayed or is refused.
package kwsequence
