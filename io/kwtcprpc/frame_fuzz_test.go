package kwtcprpc

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"testing"

	"knapweedproxy/core/kwbuffer"
	"knapweedproxy/core/kwcbor"
)

// FuzzFrame reads frames of any bytes: one costs no more than has arrived of it, and a piece.
func FuzzFrame(f *testing.F) {
	body, err := kwcbor.Marshal(frame{CallID: 7, Kind: 1})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(append(binary.BigEndian.AppendUint32(nil, uint32(len(body))), body...))
	f.Add(binary.BigEndian.AppendUint32(nil, maxFrameBytes))
	f.Add(append(binary.BigEndian.AppendUint32(nil, 3*writeChunkBytes), make([]byte, 2*writeChunkBytes)...))
	f.Fuzz(func(t *testing.T, sent []byte) {
		budget := kwbuffer.New(maxFrameBytes)
		account := budget.Open()
		defer account.Close()
		r := &frameReader{Reader: bufio.NewReaderSize(bytes.NewReader(sent), readBufferBytes)}
		_, n, err := r.read(account)
		if err == nil && n > len(sent) {
			t.Fatalf("got a frame of %d bytes out of %d", n, len(sent))
		}
		if held, want := budget.Usage().Used, int64(len(sent)+writeChunkBytes); held > want {
			t.Fatalf("%d bytes are held of %d that arrived, want at most %d", held, len(sent), want)
		}
	})
}
