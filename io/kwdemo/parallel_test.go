//go:build !race

package kwdemo

// fleetsAtOnce scenarios run side by side: they mostly wait for leases of one to five seconds.
const fleetsAtOnce = 4
