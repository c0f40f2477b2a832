package kwchainsearch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"knapweedproxy/core/kwdeclaration"
	"knapweedproxy/core/kwid"
)

func engine(layers int) *kwdeclaration.Engine {
	return &kwdeclaration.Engine{
		Layers: layers, LayerMB: 1000, KVMBPerTokenLayer: 0.01, StepTime: time.Millisecond, StepTimePerSequence: 7 * time.Microsecond,
		StepTimePerKiloToken: 10 * time.Microsecond, TypicalPromptTokens: 700, TypicalAnswerTokens: 200,
		Accelerators: []kwdeclaration.Accelerator{{Name: "fast", MemoryMB: 60_000, StepTimeFactor: 2}, {Name: "slow", MemoryMB: 20_000, StepTimeFactor: 16}},
	}
}

func server(e *kwdeclaration.Engine, id, accelerator string, from, to int) Server {
	s, ok := NewServer(e, accelerator, kwid.LayerRange{From: kwid.Layer(from), To: kwid.Layer(to)})
	if !ok {
		panic("unknown accelerator " + accelerator)
	}
	s.ID, s.Address = kwid.EndpointID(id), id+":1"
	return s
}

func ids(c Chain) string {
	out := ""
	for _, stage := range c.Stages {
		out += fmt.Sprintf("%s=%d-%d ", stage.Endpoint, stage.Layers.From, stage.Layers.To)
	}
	return out
}

func TestSearchBest(t *testing.T) {
	e := engine(80)
	f1, f2 := server(e, "f1", "fast", 0, 40), server(e, "f2", "fast", 40, 80)
	var slow []Server
	for i := range 8 {
		slow = append(slow, server(e, fmt.Sprintf("s%d", i), "slow", i*10, i*10+10))
	}
	full := f1
	full.Used = full.Capacity
	noSlot := f1
	noSlot.Slots, noSlot.Running = 10, 10
	lastSlot := noSlot
	lastSlot.Running = 9
	cases := []struct {
		name    string
		servers []Server
		want    string
	}{
		{"fast copy preferred", append([]Server{f1, f2}, slow...), "f1=0-40 f2=40-80 "},
		{"slow copy covers a lost range", append([]Server{f2}, slow...), "s0=0-10 s1=10-20 s2=20-30 s3=30-40 f2=40-80 "},
		{"no KV cache left", append([]Server{full, f2}, slow...), "s0=0-10 s1=10-20 s2=20-30 s3=30-40 f2=40-80 "},
		{"no slot left on the first server", append([]Server{noSlot, f2}, slow...), "s0=0-10 f1=10-40 f2=40-80 "},
		{"last slot", append([]Server{lastSlot, f2}, slow...), "f1=0-40 f2=40-80 "},
		{"missing layers", []Server{f1}, ""},
		{"part of a server's range", []Server{server(e, "a", "fast", 0, 50), f2}, "a=0-40 f2=40-80 "},
	}
	for _, c := range cases {
		chain, ok := NewSearch(e, c.servers).Best(RequestSize{TotalTokens: 900})
		if got := ids(chain); got != c.want || ok != (c.want != "") {
			t.Errorf("%s: got %q, want %q", c.name, got, c.want)
		}
	}
}

func TestNoServerTwice(t *testing.T) {
	e := engine(30)
	// The slow server holds all layers and the fast one the middle, so the cheapest path would visit the slow one twice.
	slow, fast := server(e, "slow", "slow", 0, 19), server(e, "fast", "fast", 10, 15)
	slow.Layers.To = 30
	chain, ok := NewSearch(e, []Server{slow, fast}).Best(RequestSize{TotalTokens: 1})
	if got := ids(chain); !ok || got != "slow=0-30 " {
		t.Errorf("got %q, want one visit to the slow server", got)
	}
}

// TestChainsCoverLayersInOrder checks on random placements that every chain runs each layer once and in order, on servers
// that hold it and have capacity for it, and visits no server twice.
func TestChainsCoverLayersInOrder(t *testing.T) {
	found := 0
	for seed := range uint64(3000) {
		rng := rand.New(rand.NewPCG(seed, 1))
		e := engine(10 + rng.IntN(70))
		var servers []Server
		byID := make(map[kwid.EndpointID]Server)
		for i := range 2 + rng.IntN(20) {
			from := rng.IntN(e.Layers)
			to := min(e.Layers, from+1+rng.IntN(e.Layers))
			accelerator := []string{"fast", "slow"}[rng.IntN(2)]
			s := server(e, fmt.Sprintf("e%d", i), accelerator, from, to)
			s.Used = s.Capacity * LayerTokens(rng.Float64())
			servers = append(servers, s)
			byID[s.ID] = s
		}
		size := RequestSize{TotalTokens: float64(rng.IntN(3000))}
		chain, ok := NewSearch(e, servers).Best(size)
		if !ok {
			continue
		}
		found++
		layer := kwid.Layer(0)
		visited := make(map[kwid.EndpointID]bool)
		for _, stage := range chain.Stages {
			s := byID[stage.Endpoint]
			if stage.Layers.From != layer || stage.Layers.Len() <= 0 || stage.Layers.From < s.Layers.From || stage.Layers.To > s.Layers.To {
				t.Fatalf("seed %d: %s does not cover the layers in order", seed, ids(chain))
			}
			if visited[stage.Endpoint] || s.Used+LayerTokens(size.TotalTokens*float64(stage.Layers.Len())) > s.Capacity {
				t.Fatalf("seed %d: %s visits %s twice or beyond its capacity", seed, ids(chain), stage.Endpoint)
			}
			visited[stage.Endpoint] = true
			layer = stage.Layers.To
		}
		if int(layer) != e.Layers {
			t.Fatalf("seed %d: %s ends at layer %d of %d", seed, ids(chain), layer, e.Layers)
		}
	}
	if found < 300 {
		t.Fatalf("got chains on %d of 3000 placements, want 300 at least for a meaningful check", found)
	}
}

func BenchmarkBest52(b *testing.B) {
	e := engine(80)
	var servers []Server
	for i := range 52 {
		servers = append(servers, server(e, fmt.Sprintf("e%d", i), []string{"fast", "slow"}[i%2], (i%8)*10, (i%8)*10+10))
	}
	for b.Loop() {
		NewSearch(e, servers).Best(RequestSize{TotalTokens: 900})
	}
}
