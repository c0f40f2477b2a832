package kwdirectproto

import (
	"bytes"
	"compress/flate"
	"io"

	"knapweedproxy/core/kwcode"
)

// maxContent bounds an unpacked declaration in bytes.
const maxContent = 16 << 20

// Compress compresses a declaration, which travels to every entry and control process.
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

// Decompress reverses Pack.
func Decompress(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	defer func() { _ = r.Close() }()
	content, err := io.ReadAll(io.LimitReader(r, maxContent+1))
	if err != nil {
		return nil, kwcode.New(kwcode.FrameMalformed, "a packed declaration: %v", err)
	}
	if len(content) > maxContent {
		return nil, kwcode.New(kwcode.FrameTooLarge, "a declaration of over %d bytes", maxContent)
	}
	return content, nil
}
