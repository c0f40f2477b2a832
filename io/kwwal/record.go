package kwwal

import (
	"encoding/binary"
	"hash/crc32"

	"knapweedproxy/core/kwcode"
)

// A record is a header (payload length, sequence number, payload checksum, header checksum) followed by the payload.
// These are the offsets of the header's fields and its size, in bytes.
const (
	lengthOffset          = 0
	sequenceOffset        = 4
	payloadChecksumOffset = 12
	headerChecksumOffset  = 16
	headerBytes           = 20
)

// MaxRecordBytes is the largest payload of a record.
const MaxRecordBytes = 64 << 20

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendRecord(out []byte, sequence uint64, payload []byte) []byte {
	var head [headerBytes]byte
	binary.LittleEndian.PutUint32(head[lengthOffset:], uint32(len(payload)))
	binary.LittleEndian.PutUint64(head[sequenceOffset:], sequence)
	binary.LittleEndian.PutUint32(head[payloadChecksumOffset:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(head[headerChecksumOffset:], crc32.Checksum(head[:headerChecksumOffset], castagnoli))
	out = append(out, head[:]...)
	return append(out, payload...)
}

// decodeHeader decodes a record header; it returns false if the header is incomplete, its checksum is wrong or its
// length exceeds the limit.
func decodeHeader(data []byte) (length int, sequence uint64, ok bool) {
	if len(data) < headerBytes {
		return 0, 0, false
	}
	sum := crc32.Checksum(data[:headerChecksumOffset], castagnoli)
	if binary.LittleEndian.Uint32(data[headerChecksumOffset:]) != sum {
		return 0, 0, false
	}
	length = int(binary.LittleEndian.Uint32(data[lengthOffset:]))
	return length, binary.LittleEndian.Uint64(data[sequenceOffset:]), length <= MaxRecordBytes
}

// scanResult holds the records of one file: their payloads, the sequence number after them, and how many bytes they
// take.
type scanResult struct {
	payloads     [][]byte
	nextSequence uint64
	validBytes   int
}

// scanRecords reads the records of a file, whose first sequence number is next. In the newest segment (last) a torn
// tail ends the scan without an error; damage before further records is an error even there.
func scanRecords(name string, data []byte, next uint64, last bool) (scanResult, error) {
	out := scanResult{nextSequence: next}
	for out.validBytes < len(data) {
		rest := data[out.validBytes:]
		length, sequence, ok := decodeHeader(rest)
		if ok && sequence != out.nextSequence {
			return out, damageError(name, out.validBytes, "sequence number %d, want %d", sequence, out.nextSequence)
		}
		complete := ok && len(rest) >= headerBytes+length
		if complete && payloadIntact(rest, length) {
			out.payloads = append(out.payloads, rest[headerBytes:headerBytes+length])
			out.validBytes += headerBytes + length
			out.nextSequence++
			continue
		}
		if !last {
			return out, damageError(name, out.validBytes, "the record is damaged")
		}
		if laterRecordFollows(rest, out.nextSequence) {
			return out, damageError(name, out.validBytes, "the record is damaged but later records follow it")
		}
		return out, nil
	}
	return out, nil
}

// payloadIntact reports whether the payload of the record at the start of rest matches its checksum.
func payloadIntact(rest []byte, length int) bool {
	payload := rest[headerBytes : headerBytes+length]
	return crc32.Checksum(payload, castagnoli) == binary.LittleEndian.Uint32(rest[payloadChecksumOffset:])
}

// laterRecordFollows reports whether a record with a higher sequence number starts anywhere after the first byte of
// rest.
func laterRecordFollows(rest []byte, sequence uint64) bool {
	for i := 1; i+headerBytes <= len(rest); i++ {
		_, found, ok := decodeHeader(rest[i:])
		if ok && found > sequence {
			return true
		}
	}
	return false
}

// damageError returns a LogDamaged error that says where the damage is and what the operator can do.
func damageError(name string, offset int, format string, args ...any) error {
	detail := kwcode.New(kwcode.LogDamaged, format, args...).Detail
	return kwcode.New(kwcode.LogDamaged, "%s at byte %d: %s; restore this VM's data folder or rejoin it as a new member", name, offset, detail)
}
