// Package kwtcprpc is an RPC transport of CBOR frames over plain TCP. It neither authenticates nor encrypts and is for
// processes without keys on a network that the platform trusts; package kwquic is the transport for processes with keys.
package kwtcprpc
