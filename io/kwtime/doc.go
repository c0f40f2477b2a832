// Package kwtime reads the clock that leases are measured by, and sleeps until a context ends.
package kwtime
