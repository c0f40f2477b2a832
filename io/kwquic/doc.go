// Package kwquic is the transport of a fleet with agents: CBOR frames over QUIC streams with mutual TLS. Package
// kwtcprpc is the transport of a fleet without agents.
package kwquic
