// Package kwdirectproto defines the messages between entries and control processes of a fleet without agents. They are
// carried by package kwtcprpc.
package kwdirectproto
