//go:build !race

package kwdemo

// maxParallelFleets is how many tests with a fleet run in parallel; they spend most of their time waiting for leases of
// 1 s to 5 s.
const maxParallelFleets = 4
