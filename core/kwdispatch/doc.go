// Package kwdispatch decides, at one entry of a fleet without agents, whether a request gets a chain of model servers now, waits
// for one or is rejected. The decisions take the time and the known servers as arguments and do no I/O.
package kwdispatch
