package kwcbor

import (
	"math"

	"github.com/fxamacker/cbor/v2"
)

// maxNesting is the deepest nesting of a kept value.
const maxNesting = 64

// mode lifts the library's bound of 131,072 elements, which a journal outgrows.
var mode = func() cbor.DecMode {
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

// Unmarshal decodes a value that this system has encoded.
func Unmarshal(data []byte, out any) error {
	return mode.Unmarshal(data, out)
}
