// Package kwchainsearch chooses the chain of endpoints, each running a range of layers, that serves a request: a shortest-path
// search over expected token times. It is for entries that call endpoints directly; kwmaxflow is for those that go through
// agents.
package kwchainsearch
