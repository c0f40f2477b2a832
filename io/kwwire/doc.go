// Package kwwire carries CBOR frames between the system's processes over QUIC with mutual TLS.
package kwwire
