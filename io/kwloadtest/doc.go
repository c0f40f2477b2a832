// Package kwloadtest implements load tests of a complete fleet in one process, and discrete-event simulations of the
// routing policies.
package kwloadtest
