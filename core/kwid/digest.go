package kwid

import "encoding/hex"

// RequestDigest identifies what a request asks for. Requests that a caller repeats under new IDs have the same one.
type RequestDigest [16]byte

// String returns the digest in hexadecimal.
func (d RequestDigest) String() string { return hex.EncodeToString(d[:]) }

// IsZero reports whether the digest is missing.
func (d RequestDigest) IsZero() bool { return d == RequestDigest{} }
