package kwdirectproto

import (
	"bytes"
	"compress/flate"
	"io"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwdelta"
)

// maxDeclarationBytes bounds a decompressed declaration.
const maxDeclarationBytes = 16 << 20

// Compress compresses a declaration, which is sent to every entry and control process.
func Compress(content []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, kwcode.FromError(err)
	}
	if _, err := w.Write(content); err != nil {
		return nil, kwcode.FromError(err)
	}
	if err := w.Close(); err != nil {
		return nil, kwcode.FromError(err)
	}
	return out.Bytes(), nil
}

// Decompress reverses Compress; it rejects content that is too large.
func Decompress(compressed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(compressed))
	defer func() { _ = r.Close() }()
	content, err := io.ReadAll(io.LimitReader(r, maxDeclarationBytes+1))
	if err != nil {
		return nil, kwcode.New(kwcode.FrameMalformed, "decompressing a declaration: %v", err)
	}
	if len(content) > maxDeclarationBytes {
		return nil, kwcode.New(kwcode.FrameTooLarge, "the declaration exceeds %d bytes", maxDeclarationBytes)
	}
	return content, nil
}

// ApplyDelta returns the declaration that a compressed kwdelta.Delta to an earlier one encodes.
func ApplyDelta(before, compressed []byte) ([]byte, error) {
	delta, err := Decompress(compressed)
	if err != nil {
		return nil, err
	}
	return kwdelta.Delta(delta).Apply(before, maxDeclarationBytes)
}
