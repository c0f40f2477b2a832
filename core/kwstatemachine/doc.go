// Package kwstatemachine is the durable control state: a deterministic machine that applies logged commands in order.
package kwstatemachine
