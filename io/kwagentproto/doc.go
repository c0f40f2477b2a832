// Package kwagentproto defines the messages between the processes of a fleet with agents, carried by kwquic.
package kwagentproto
