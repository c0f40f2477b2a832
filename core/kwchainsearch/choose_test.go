package kwchainsearch

import (
	"testing"
	"time"

	"knapweedproxy/core/kwid"
)

// TestChoose replays loads on two zones, each with a fast copy on two servers and zone a with a slow one besides: a rush
// that fills the queue of the fast copy, a zone that is behind, a lost server.
func TestChoose(t *testing.T) {
	e := engine(80)
	e.TypicalAnswerTokens = 200
	place := func(s Server, zone kwid.AvailabilityZone) Server {
		s.Zone = zone
		return s
	}
	fast := func(zone kwid.AvailabilityZone) []Server {
		return []Server{place(server(e, string(zone)+"f1", "fast", 0, 40), zone), place(server(e, string(zone)+"f2", "fast", 40, 80), zone)}
	}
	var servers []Server
	servers = append(servers, fast("a")...)
	for i := range 8 {
		servers = append(servers, place(server(e, "as"+string(rune('0'+i)), "slow", i*10, i*10+10), "a"))
	}
	servers = append(servers, fast("b")...)
	cases := []struct {
		name  string
		waits map[kwid.EndpointID]time.Duration
		out   map[kwid.EndpointID]bool
		limit time.Duration
		want  kwid.EndpointID
	}{
		{"no load", nil, nil, time.Second, "af1"},
		{"a rush on the fast copy", map[kwid.EndpointID]time.Duration{"af1": 300 * time.Millisecond, "bf1": 300 * time.Millisecond}, nil, time.Second, "as0"},
		{"a rush on the whole zone", map[kwid.EndpointID]time.Duration{"af1": 450 * time.Millisecond, "as0": 450 * time.Millisecond}, nil, time.Second, "bf1"},
		{"a lost server", nil, map[kwid.EndpointID]bool{"af1": true}, time.Second, "as0"},
		{"a zone without a copy", nil, map[kwid.EndpointID]bool{"af1": true, "as0": true}, time.Second, "bf1"},
		{"all beyond the limit", map[kwid.EndpointID]time.Duration{"af1": 600 * time.Millisecond, "as0": 600 * time.Millisecond, "bf1": 600 * time.Millisecond}, nil, 500 * time.Millisecond, ""},
		{"no zone is left, one still holds the model", nil, map[kwid.EndpointID]bool{"af1": true, "as0": true, "bf2": true}, time.Second, ""},
	}
	for _, c := range cases {
		chain, ok := Choose(e, servers, func(id kwid.EndpointID) bool { return c.out[id] }, Criteria{
			Size: RequestSize{TotalTokens: 900, PromptTokens: 700}, Home: "a", FirstEventObjective: 500 * time.Millisecond, PauseObjective: 200 * time.Millisecond, MaxFirstEvent: c.limit,
			EstimateFirstEvent: func(first kwid.EndpointID, idle time.Duration) time.Duration { return max(idle, c.waits[first]) },
		})
		got := kwid.EndpointID("")
		if ok {
			got = chain.First().Endpoint
		}
		if got != c.want {
			t.Errorf("%s: got a chain from %q, want %q", c.name, got, c.want)
		}
	}
}

// TestChooseAcrossZones lays a chain across zones only where no zone holds the whole model.
func TestChooseAcrossZones(t *testing.T) {
	e := engine(80)
	half := server(e, "a1", "fast", 0, 40)
	other := server(e, "b1", "fast", 40, 80)
	half.Zone, other.Zone = "a", "b"
	w := Criteria{
		Size: RequestSize{TotalTokens: 900}, Home: "a", FirstEventObjective: time.Second, MaxFirstEvent: time.Second,
		EstimateFirstEvent: func(_ kwid.EndpointID, idle time.Duration) time.Duration { return idle },
	}
	chain, ok := Choose(e, []Server{half, other}, func(kwid.EndpointID) bool { return false }, w)
	if got, want := ids(chain), "a1=0-40 b1=40-80 "; !ok || got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestChooseWhileGathering replays the start of everything: endpoints become known one after the other, and no chain is laid
// across zones before the list is whole.
func TestChooseWhileGathering(t *testing.T) {
	e := engine(80)
	half := server(e, "a1", "fast", 0, 40)
	other := server(e, "b1", "fast", 40, 80)
	rest := server(e, "a2", "fast", 40, 80)
	half.Zone, other.Zone, rest.Zone = "a", "b", "a"
	w := Criteria{
		Size: RequestSize{TotalTokens: 900}, Home: "a", FirstEventObjective: time.Second, MaxFirstEvent: time.Second, Incomplete: true,
		EstimateFirstEvent: func(_ kwid.EndpointID, idle time.Duration) time.Duration { return idle },
	}
	none := func(kwid.EndpointID) bool { return false }
	if chain, ok := Choose(e, []Server{half, other}, none, w); ok {
		t.Errorf("got %q while endpoints are unknown, want none", ids(chain))
	}
	chain, ok := Choose(e, []Server{half, other, rest}, none, w)
	if got, want := ids(chain), "a1=0-40 a2=40-80 "; !ok || got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
