// Package kwcapacity calculates what the control plane costs each role at a given fleet size, from measured unit costs.
package kwcapacity
