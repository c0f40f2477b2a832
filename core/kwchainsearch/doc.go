// Package kwchainsearch chooses chains in a fleet without agents: it finds the endpoints, each with a range of layers,
// that serve a request by a shortest-path search over expected token times. Package kwmaxflow chooses chains in a fleet
// with agents.
package kwchainsearch
