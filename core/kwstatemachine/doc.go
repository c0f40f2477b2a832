// Package kwstatemachine holds the durable state of the control processes as a deterministic state machine: equal
// sequences of logged commands give equal states and replies.
package kwstatemachine
