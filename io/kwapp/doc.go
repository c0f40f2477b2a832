// Package kwapp wires one role of a process with fx: logger, clock, keys, events and the role itself.
package kwapp
