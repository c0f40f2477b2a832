// Package kwraft implements the Raft consensus algorithm as a deterministic state machine without I/O: it takes
// messages and the time, and returns entries to persist, messages to send and committed entries to apply.
package kwraft
