//go:build race

package kwdemo

// maxParallelFleets is 1 under the race detector: a fleet then needs several processors, and in fleets that share them
// leases of 1 s to 5 s expire.
const maxParallelFleets = 1
