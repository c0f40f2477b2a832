package kwdirectproto

import (
	"encoding/binary"
	"math"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwmembership"
)

// IndexedLoad is the load of the endpoint with an index in the leader's roster.
type IndexedLoad struct {
	Index   kwmembership.RosterIndex
	Used    kwchainsearch.LayerTokens
	Running int
}

// PackedLoads is the encoding of loads in ascending order of their indices. Each load takes three variable-length
// integers: the difference to the index before it, the use of KV cache in units of packedUnit, and the running requests.
// That is about 5 bytes, where a Load with the endpoint's ID takes 28: the table of all loads is the larger part of the
// traffic between entries and control.
type PackedLoads []byte

// packedUnit is the unit of the KV cache use in PackedLoads, in layer tokens.
const packedUnit = 16

// PackLoads encodes loads, which must be in ascending order of their indices.
func PackLoads(loads []IndexedLoad) PackedLoads {
	out := make(PackedLoads, 0, 6*len(loads))
	last := kwmembership.RosterIndex(0)
	for _, l := range loads {
		out = binary.AppendUvarint(out, uint64(l.Index-last))
		out = binary.AppendUvarint(out, uint64(max(0, math.Round(float64(l.Used)/packedUnit))))
		out = binary.AppendUvarint(out, uint64(max(0, l.Running)))
		last = l.Index
	}
	return out
}

// Unpack decodes the loads, or returns an error if the bytes end inside a load or hold a value that is out of range.
func (p PackedLoads) Unpack() ([]IndexedLoad, error) {
	var out []IndexedLoad
	last := uint64(0)
	for rest := []byte(p); len(rest) > 0; {
		var fields [3]uint64
		for i := range fields {
			value, n := binary.Uvarint(rest)
			if n <= 0 || value > math.MaxUint32 {
				return nil, kwcode.New(kwcode.FrameMalformed, "load %d is truncated or out of range", len(out))
			}
			fields[i], rest = value, rest[n:]
		}
		last += fields[0]
		if last > math.MaxUint32 {
			return nil, kwcode.New(kwcode.FrameMalformed, "the index of load %d is out of range", len(out))
		}
		out = append(out, IndexedLoad{
			Index: kwmembership.RosterIndex(last), Used: kwchainsearch.LayerTokens(fields[1] * packedUnit), Running: int(fields[2]),
		})
	}
	return out, nil
}
