package kwquarantine

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"

	"knapweedproxy/core/kwid"
)

// DigestRequest returns the digest of a request from its host, its target (path and query), its caller and its body. The caller is
// the workspace, or empty on public routes. Each field is preceded by its length, so that no two requests run together.
func DigestRequest(host, target, caller string, body []byte) kwid.RequestDigest {
	h := sha256.New()
	var length [8]byte
	write := func(field []byte) {
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write(field)
	}
	write([]byte(host))
	write([]byte(target))
	write([]byte(caller))
	write(body)
	var sum [sha256.Size]byte
	return kwid.RequestDigest(h.Sum(sum[:0])[:len(kwid.RequestDigest{})])
}

func compareDigests(a, b kwid.RequestDigest) int { return bytes.Compare(a[:], b[:]) }
