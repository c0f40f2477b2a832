// Package kwtime reads the clock that leases are kept by, and waits with an eye on a context.
package kwtime
