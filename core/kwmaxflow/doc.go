// Package kwmaxflow chooses chains of stages for entries that go through agents: max-flow weights over the layer graph
// and a local two-choice step.
package kwmaxflow
