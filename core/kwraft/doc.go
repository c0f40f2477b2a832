// Package kwraft is the replicated log, after Raft: a deterministic state machine that takes messages and time and
// returns entries to persist, messages to send and committed entries to apply.
package kwraft
