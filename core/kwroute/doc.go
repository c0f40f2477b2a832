// Package kwroute chooses chains of stages: max-flow weights over the layer graph and a local two-choice step.
package kwroute
