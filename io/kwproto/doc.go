// Package kwproto defines the messages between the system's own processes.
package kwproto
