// Package kwmembership keeps the table of endpoints and entries, each held by a lease that its owner renews.
package kwmembership
