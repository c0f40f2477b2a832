// Package kwhlc is a hybrid logical clock: stamps follow causality and stay close to wall time.
package kwhlc
