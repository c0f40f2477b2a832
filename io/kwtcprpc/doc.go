// Package kwtcprpc is the transport of a fleet without agents: calls with CBOR frames over plain TCP. It neither
// authenticates nor encrypts, and is for processes without keys on a network that the platform trusts. Package kwquic is
// the transport of a fleet with agents.
package kwtcprpc
