// Package kwreconcile holds the tables of a control process and the controllers that reconcile them: expired leases,
// departed endpoints and stale claims.
package kwreconcile
