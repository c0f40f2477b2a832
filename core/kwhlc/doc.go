// Package kwhlc implements a hybrid logical clock, whose timestamps follow causality and stay close to wall-clock time.
package kwhlc
