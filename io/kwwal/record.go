package kwwal

import (
	"encoding/binary"
	"hash/crc32"

	"knapweedproxy/core/kwcode"
)

// A record is a header (payload length, sequence number, payload checksum, header checksum) and the payload.
const (
	lengthAt    = 0
	sequenceAt  = 4
	payloadSum  = 12
	headerSum   = 16
	headerBytes = 20
)

// MaxRecordBytes is the largest payload in bytes.
const MaxRecordBytes = 64 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendRecord(out []byte, sequence uint64, payload []byte) []byte {
	var head [headerBytes]byte
	binary.LittleEndian.PutUint32(head[lengthAt:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(head[sequenceAt:], sequence)
	binary.LittleEndian.PutUint32(head[payloadSum:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(head[headerSum:], crc32.Checksum(head[:headerSum], castagnoli))
	out = append(out, head[:]...)
	return append(out, payload...)
}

// header decodes a record header, or returns false if its checksum is wrong.
func header(data []byte) (length int, sequence uint64, ok bool) {
	if len(data) < headerBytes {
		return 0, 0, false
	}
	sum := crc32.Checksum(data[:headerSum], castagnoli)
	if binary.LittleEndian.Uint32(data[headerSum:]) != sum {
		return 0, 0, false
	}
	length = int(binary.LittleEndian.Uint32(data[lengthAt:]))
	return length, binary.LittleEndian.Uint64(data[sequenceAt:]), length <= MaxRecordBytes
}

// scanned is the result of reading one segment.
type scanned struct {
	payloads [][]byte
	next     uint64
	good     int
}

// scan reads the records of a segment; last allows a torn tail, which ends the scan without an error.
func scan(name string, data []byte, next uint64, last bool) (scanned, error) {
	out := scanned{next: next}
	for out.good < len(data) {
		rest := data[out.good:]
		length, sequence, ok := header(rest)
		if ok && sequence != out.next {
			return out, damaged(name, out.good, "sequence %d, want %d", sequence, out.next)
		}
		whole := ok && len(rest) >= headerBytes+length
		if whole && intact(rest, length) {
			out.payloads = append(out.payloads, rest[headerBytes:headerBytes+length])
			out.good += headerBytes + length
			out.next++
			continue
		}
		if !last {
			return out, damaged(name, out.good, "the record is not intact")
		}
		if follows(rest, out.next) {
			return out, damaged(name, out.good, "the record is not intact and others follow it")
		}
		return out, nil
	}
	return out, nil
}

func intact(rest []byte, length int) bool {
	payload := rest[headerBytes : headerBytes+length]
	return crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(rest[payloadSum:])
}

// follows tells whether a later record starts anywhere after the first byte.
func follows(rest []byte, sequence uint64) bool {
	for i := 1; i+headerBytes <= len(rest); i++ {
		_, found, ok := header(rest[i:])
		if ok && found > sequence {
			return true
		}
	}
	return false
}

func damaged(name string, offset int, format string, args ...any) error {
	detail := kwcode.New(kwcode.LogDamaged, format, args...).Detail
	return kwcode.New(kwcode.LogDamaged, "%s at byte %d: %s; restore this VM's data folder or rejoin it as a new member", name, offset, detail)
}
