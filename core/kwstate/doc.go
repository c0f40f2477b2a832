// Package kwstate is the durable control state: a deterministic machine that applies logged commands in order.
package kwstate
