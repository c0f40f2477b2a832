// Package kwmaxflow chooses chains of stages for entries that reach model servers through agents. It weighs the stages by a
// max-flow over the layer graph and balances between them with the power of two choices.
package kwmaxflow
