package kwdirectproto

import (
	"math/rand/v2"
	"slices"
	"testing"

	"knapweedproxy/core/kwchainsearch"
	"knapweedproxy/core/kwmembership"
)

func TestPackedLoads(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	var loads []IndexedLoad
	index := kwmembership.RosterIndex(0)
	for range 115 {
		index += kwmembership.RosterIndex(1 + rng.IntN(3))
		loads = append(loads, IndexedLoad{Index: index, Used: kwchainsearch.LayerTokens(packedUnit * rng.IntN(100_000)), Running: rng.IntN(200)})
	}
	packed := PackLoads(loads)
	got, err := packed.Unpack()
	if err != nil || !slices.Equal(got, loads) {
		t.Errorf("got %v, %v, want %v", got, err, loads)
	}
	if got, limit := len(packed), 7*len(loads); got > limit {
		t.Errorf("%d loads: got %d bytes, want %d at most", len(loads), got, limit)
	}
	if _, err := packed[:len(packed)-1].Unpack(); err == nil {
		t.Errorf("a truncated table was decoded without an error")
	}
	if got, err := PackLoads(nil).Unpack(); len(got) != 0 || err != nil {
		t.Errorf("no loads: got %v, %v", got, err)
	}
}

func FuzzPackedLoads(f *testing.F) {
	f.Add([]byte(PackLoads([]IndexedLoad{{Index: 3, Used: 9000, Running: 2}, {Index: 300, Running: 1}})))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 1})
	f.Fuzz(func(t *testing.T, data []byte) {
		loads, err := PackedLoads(data).Unpack()
		if err != nil {
			return
		}
		again, err := PackLoads(loads).Unpack()
		if err != nil || !slices.Equal(again, loads) {
			t.Errorf("got %v, %v after packing %v", again, err, loads)
		}
	})
}
