// Package kwapp builds a process with fx: the logger, the clock, the keys, the events and the role.
package kwapp
