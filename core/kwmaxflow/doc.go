// Package kwmaxflow chooses chains in a fleet with agents: it weighs the stages by a max-flow over the layer graph and
// balances between them with the power of two choices. Package kwchainsearch chooses chains in a fleet without agents.
package kwmaxflow
