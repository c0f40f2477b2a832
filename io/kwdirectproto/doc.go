// Package kwdirectproto defines the messages between the processes of a fleet without agents, which package kwtcprpc
// carries. Field names are not part of the encoding: the numbers in the cbor tags are. Package kwagentproto defines the
// messages of a fleet with agents.
package kwdirectproto
