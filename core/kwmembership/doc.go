// Package kwmembership keeps the leased membership of endpoints and entries: each row is valid as long as its owner
// renews the lease.
package kwmembership
