// Package kwreconcile holds the tables of a control process and the controllers that scan them for expired leases,
// stale claims and unknown outcomes.
package kwreconcile
