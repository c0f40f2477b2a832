// Package kwtcprpc carries calls between the system's processes as CBOR frames over plain TCP, for networks that belong
// to the platform and processes without keys. kwquic is the transport with keys.
package kwtcprpc
