// Package kwreconcile holds the tables of a control process and the controllers that reconcile them: lapsed leases,
// departed endpoints and stale claims.
package kwreconcile
