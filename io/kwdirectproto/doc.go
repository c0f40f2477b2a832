// Package kwdirectproto defines the messages between entries and control processes of a fleet without agents, carried
// by kwtcprpc.
package kwdirectproto
