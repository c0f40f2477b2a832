// Package kwloadtest measures: load profiles on a whole fleet in one process, and trials of the routing decisions on a
// fake clock.
package kwloadtest
