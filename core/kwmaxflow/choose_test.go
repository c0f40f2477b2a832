package kwmaxflow

import (
	"fmt"
	"math"
	"testing"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
)

// noLoad is an EndpointLoads without load; excluded lists the excluded endpoints.
type noLoad struct {
	excluded map[kwid.EndpointID]bool
}

func (noLoad) Outstanding(kwid.EndpointID) float64 { return 0 }

func (l noLoad) Excluded(id kwid.EndpointID) bool { return l.excluded[id] }

func stage(name string, from, to kwid.Layer, rate float64) Stage {
	return Stage{Endpoint: kwid.EndpointID(name), Zone: kwid.AvailabilityZone(name[:1]), Layers: kwid.LayerRange{From: from, To: to}, TokenRate: rate}
}

func TestMaxFlow(t *testing.T) {
	tests := []struct {
		name   string
		stages []Stage
		links  Links
		want   float64
	}{
		{"a chain is as fast as its slowest stage", []Stage{stage("a1", 0, 4, 10), stage("a2", 4, 8, 6)}, nil, 6},
		{"replicas add up", []Stage{stage("a1", 0, 4, 10), stage("a2", 4, 8, 6), stage("a3", 4, 8, 3)}, nil, 9},
		{"overlapping layer ranges", []Stage{stage("a1", 0, 8, 5), stage("a2", 0, 3, 4), stage("a3", 3, 8, 9)}, nil, 9},
		{"a slow link", []Stage{stage("a1", 0, 4, 10), stage("b1", 4, 8, 10)}, Links{{From: "a", To: "b"}: {Rate: 2}}, 2},
		{"a missing layer", []Stage{stage("a1", 0, 4, 10), stage("a2", 5, 8, 6)}, nil, 0},
	}
	for _, tt := range tests {
		if got := NewGraph(8, tt.stages, tt.links).MaxFlow(); math.Abs(got-tt.want) > 1e-6 {
			t.Errorf("%s: got %g, want %g", tt.name, got, tt.want)
		}
	}
}

func TestChooseCoversLayersWithoutExcluded(t *testing.T) {
	g := NewGraph(8, []Stage{
		stage("a1", 0, 4, 10), stage("a2", 4, 8, 10), stage("b1", 0, 2, 5), stage("b2", 2, 4, 5), stage("b3", 4, 8, 5),
	}, nil)
	for _, policy := range []Policy{FlowTwoChoice, RoundRobin, Random, LeastOutstanding} {
		c := NewChooser(policy, 1)
		for _, excluded := range []string{"", "a1", "a2", "b2", "b3"} {
			chain, err := c.Choose(g, noLoad{excluded: map[kwid.EndpointID]bool{kwid.EndpointID(excluded): true}})
			if err != nil {
				t.Fatalf("%s without %q: %v", policy, excluded, err)
			}
			var layer kwid.Layer
			for _, s := range chain {
				if s.Layers.From != layer || s.Endpoint == kwid.EndpointID(excluded) {
					t.Errorf("%s without %q: got %v", policy, excluded, chain)
				}
				layer = s.Layers.To
			}
			if layer != 8 {
				t.Errorf("%s without %q: got layers up to %d, want 8", policy, excluded, layer)
			}
		}
		_, err := c.Choose(g, noLoad{excluded: map[kwid.EndpointID]bool{"a2": true, "b3": true}})
		if !kwcode.Is(err, kwcode.NoChain) {
			t.Errorf("%s: got %v, want %d", policy, err, kwcode.NoChain)
		}
	}
}

func TestChooseFollowsFlow(t *testing.T) {
	g := NewGraph(2, []Stage{stage("a1", 0, 2, 30), stage("b1", 0, 2, 10)}, nil)
	c := NewChooser(FlowTwoChoice, 7)
	fast := 0
	const n = 4000
	for range n {
		chain, err := c.Choose(g, noLoad{})
		if err != nil {
			t.Fatal(err)
		}
		if chain[0].Endpoint == "a1" {
			fast++
		}
	}
	if share := float64(fast) / n; share < 0.7 {
		t.Errorf("got a share of %.2f for the stage with three times the rate, want 0.7 or more", share)
	}
}

// largeGraph returns the graph of one model in six layer ranges, on servers with different rates.
func largeGraph(servers int) *Graph {
	var stages []Stage
	const cuts = 6
	for i := range servers {
		from := kwid.Layer(i % cuts * 8)
		stages = append(stages, stage(fmt.Sprintf("%c%d", 'a'+i%5, i), from, from+8, float64(10+i%7*30)))
	}
	return NewGraph(cuts*8, stages, nil)
}

func BenchmarkChoose(b *testing.B) {
	for _, servers := range []int{30, 150, 600} {
		b.Run(fmt.Sprintf("servers-%d", servers), func(b *testing.B) {
			g := largeGraph(servers)
			c := NewChooser(FlowTwoChoice, 1)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := c.Choose(g, noLoad{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkNewGraph(b *testing.B) {
	for _, servers := range []int{30, 150, 600} {
		b.Run(fmt.Sprintf("servers-%d", servers), func(b *testing.B) {
			for b.Loop() {
				largeGraph(servers)
			}
		})
	}
}
