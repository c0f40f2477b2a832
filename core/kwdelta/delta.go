package kwdelta

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"knapweedproxy/core/kwcode"
)

const (
	// chunkEnd ends a chunk; in JSON it ends an object, so that an object that has not changed is a chunk that has not.
	chunkEnd = '}'
	// maxChunkBytes bounds a chunk of text without chunkEnd.
	maxChunkBytes = 1024
	// sumBytes is the size of the checksum at the start of a delta.
	sumBytes = 8
)

// Delta is the difference between two texts: the checksum of the new one, then pairs of a copy and a literal. A copy is an offset
// in the old text and a length, a literal a length and its bytes, all numbers as variable-length integers.
type Delta []byte

// Encode returns the difference between two texts.
func Encode(before, after []byte) Delta {
	offsets := make(map[string]int)
	offset := 0
	for _, c := range chunks(before) {
		if _, ok := offsets[string(c)]; !ok {
			offsets[string(c)] = offset
		}
		offset += len(c)
	}
	e := encoder{out: binary.BigEndian.AppendUint64(nil, xxhash.Sum64(after))}
	for _, c := range chunks(after) {
		if next := e.copyFrom + e.copyLen; e.continues(before, c, next) {
			e.copyLen += len(c)
		} else if at, ok := offsets[string(c)]; ok {
			e.flush()
			e.copyFrom, e.copyLen = at, len(c)
		} else {
			e.literal = append(e.literal, c...)
		}
	}
	e.flush()
	return Delta(e.out)
}

// chunks divides a text.
func chunks(text []byte) [][]byte {
	var out [][]byte
	start := 0
	for i, b := range text {
		if b == chunkEnd || i-start+1 == maxChunkBytes {
			out = append(out, text[start:i+1])
			start = i + 1
		}
	}
	if start < len(text) {
		out = append(out, text[start:])
	}
	return out
}

// encoder collects one copy and the literal after it.
type encoder struct {
	out               []byte
	copyFrom, copyLen int
	literal           []byte
}

// continues reports whether a chunk continues the present copy.
func (e *encoder) continues(before, chunk []byte, next int) bool {
	return e.copyLen > 0 && len(e.literal) == 0 && next+len(chunk) <= len(before) && string(before[next:next+len(chunk)]) == string(chunk)
}

// flush writes the present copy and literal.
func (e *encoder) flush() {
	if e.copyLen == 0 && len(e.literal) == 0 {
		return
	}
	e.out = binary.AppendUvarint(e.out, uint64(e.copyFrom))
	e.out = binary.AppendUvarint(e.out, uint64(e.copyLen))
	e.out = binary.AppendUvarint(e.out, uint64(len(e.literal)))
	e.out = append(e.out, e.literal...)
	e.copyFrom, e.copyLen, e.literal = 0, 0, nil
}

// Apply returns the new text, of at most limit bytes. It returns an error if the delta is malformed or was made from another old
// text.
func (d Delta) Apply(before []byte, limit int) ([]byte, error) {
	if len(d) < sumBytes {
		return nil, kwcode.New(kwcode.FrameMalformed, "a delta of %d bytes lacks its checksum", len(d))
	}
	sum, rest := binary.BigEndian.Uint64(d), []byte(d[sumBytes:])
	var after []byte
	for len(rest) > 0 {
		var fields [3]uint64
		for i := range fields {
			value, n := binary.Uvarint(rest)
			if n <= 0 || value > uint64(limit) {
				return nil, kwcode.New(kwcode.FrameMalformed, "a delta is truncated or out of range after %d bytes", len(after))
			}
			fields[i], rest = value, rest[n:]
		}
		from, copyLen, literalLen := int(fields[0]), int(fields[1]), int(fields[2])
		if from+copyLen > len(before) || literalLen > len(rest) || len(after)+copyLen+literalLen > limit {
			return nil, kwcode.New(kwcode.FrameMalformed, "a delta is out of range after %d bytes", len(after))
		}
		after = append(after, before[from:from+copyLen]...)
		after = append(after, rest[:literalLen]...)
		rest = rest[literalLen:]
	}
	if xxhash.Sum64(after) != sum {
		return nil, kwcode.New(kwcode.FrameMalformed, "a delta of %d bytes belongs to another text", len(d))
	}
	return after, nil
}
