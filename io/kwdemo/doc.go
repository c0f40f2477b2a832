// Package kwdemo runs a whole small fleet in one process, each role on sockets of its own, for the demonstration,
// for scenarios and for load experiments.
package kwdemo
