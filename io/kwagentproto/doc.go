// Package kwagentproto defines the messages between the processes of a fleet with agents, which package kwquic carries.
// Field names are not part of the encoding: the numbers in the cbor tags are. Package kwdirectproto defines the messages
// of a fleet without agents.
package kwagentproto
