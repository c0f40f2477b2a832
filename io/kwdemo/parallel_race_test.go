//go:build race

package kwdemo

// fleetsAtOnce is one under the race detector: a fleet takes several processors then, and leases of one to five seconds
// run out in fleets that share them.
const fleetsAtOnce = 1
