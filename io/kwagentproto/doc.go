// Package kwagentproto defines the messages that the processes of a fleet with agents exchange over kwquic. Field names
// are not part of the encoding: the numbers in the cbor tags are.
package kwagentproto
