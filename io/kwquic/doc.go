// Package kwquic carries CBOR frames between the system's processes over QUIC with mutual TLS, in a fleet with agents.
// kwtcprpc is the transport without keys.
package kwquic
