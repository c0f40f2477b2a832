package kwcbor

import (
	"math"

	"github.com/fxamacker/cbor/v2"
)

// maxNesting limits the nesting depth of a decoded value.
const maxNesting = 64

// decMode lifts the library's default limit of 131,072 elements, which a journal can exceed.
var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{
		MaxNestedLevels:  maxNesting,
		MaxArrayElements: math.MaxInt32,
		MaxMapPairs:      math.MaxInt32,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Marshal encodes a value.
func Marshal(v any) ([]byte, error) {
	return cbor.Marshal(v)
}

// Unmarshal decodes a value that this system encoded into out, a pointer.
func Unmarshal(data []byte, out any) error {
	return decMode.Unmarshal(data, out)
}
