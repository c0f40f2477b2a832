// Package kwchainsearch chooses the chain of endpoints, each holding a range of layers, that a request passes through:
// a shortest-path search over expected times. Entries that call endpoints directly use it; kwmaxflow serves those that
// go through agents.
package kwchainsearch
