package kwchainsearch

import (
	"testing"
	"time"

	"knapweedproxy/core/kwid"
)

// TestChoose chooses between two zones, each with a fast copy on two servers; zone a has a slow copy as well. The cases are
// bursts that fill the queues of copies or of a whole zone, lost servers, and chains beyond the limit.
func TestChoose(t *testing.T) {
	e := engine(80)
	e.TypicalAnswerTokens = 200
	inZone := func(s Server, zone kwid.AvailabilityZone) Server {
		s.Zone = zone
		return s
	}
	fastCopy := func(zone kwid.AvailabilityZone) []Server {
		return []Server{inZone(server(e, string(zone)+"f1", "fast", 0, 40), zone), inZone(server(e, string(zone)+"f2", "fast", 40, 80), zone)}
	}
	var servers []Server
	servers = append(servers, fastCopy("a")...)
	for i := range 8 {
		servers = append(servers, inZone(server(e, "as"+string(rune('0'+i)), "slow", i*10, i*10+10), "a"))
	}
	servers = append(servers, fastCopy("b")...)
	cases := []struct {
		name        string
		firstEvents map[kwid.EndpointID]time.Duration
		excluded    map[kwid.EndpointID]bool
		limit       time.Duration
		want        kwid.EndpointID
	}{
		{"no load", nil, nil, time.Second, "af1"},
		{"burst on the fast copy", map[kwid.EndpointID]time.Duration{"af1": 300 * time.Millisecond, "bf1": 300 * time.Millisecond}, nil, time.Second, "as0"},
		{"burst on the whole zone", map[kwid.EndpointID]time.Duration{"af1": 450 * time.Millisecond, "as0": 450 * time.Millisecond}, nil, time.Second, "bf1"},
		{"lost server", nil, map[kwid.EndpointID]bool{"af1": true}, time.Second, "as0"},
		{"zone without a copy", nil, map[kwid.EndpointID]bool{"af1": true, "as0": true}, time.Second, "bf1"},
		{"all chains beyond the limit", map[kwid.EndpointID]time.Duration{"af1": 600 * time.Millisecond, "as0": 600 * time.Millisecond, "bf1": 600 * time.Millisecond}, nil, 500 * time.Millisecond, ""},
		{"no zone is available, one still holds the model", nil, map[kwid.EndpointID]bool{"af1": true, "as0": true, "bf2": true}, time.Second, ""},
	}
	for _, c := range cases {
		chain, ok := Choose(e, servers, func(id kwid.EndpointID) bool { return c.excluded[id] }, Criteria{
			Size: RequestSize{TotalTokens: 900, PromptTokens: 700}, Home: "a", FirstEventObjective: 500 * time.Millisecond, EventGapObjective: 200 * time.Millisecond, MaxFirstEvent: c.limit,
			EstimateFirstEvent: func(first kwid.EndpointID, idle time.Duration) time.Duration { return max(idle, c.firstEvents[first]) },
		})
		got := kwid.EndpointID("")
		if ok {
			got = chain.First().Endpoint
		}
		if got != c.want {
			t.Errorf("%s: got a chain starting at %q, want %q", c.name, got, c.want)
		}
	}
}

// TestChooseAcrossZones checks that a chain crosses zones if no zone holds the whole model.
func TestChooseAcrossZones(t *testing.T) {
	e := engine(80)
	half := server(e, "a1", "fast", 0, 40)
	other := server(e, "b1", "fast", 40, 80)
	half.Zone, other.Zone = "a", "b"
	criteria := Criteria{
		Size: RequestSize{TotalTokens: 900}, Home: "a", FirstEventObjective: time.Second, MaxFirstEvent: time.Second,
		EstimateFirstEvent: func(_ kwid.EndpointID, idle time.Duration) time.Duration { return idle },
	}
	chain, ok := Choose(e, []Server{half, other}, func(kwid.EndpointID) bool { return false }, criteria)
	if got, want := ids(chain), "a1=0-40 b1=40-80 "; !ok || got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}

// TestChooseWhileGathering checks that no chain crosses zones while the list of endpoints is incomplete, as after a restart of
// the whole deployment.
func TestChooseWhileGathering(t *testing.T) {
	e := engine(80)
	half := server(e, "a1", "fast", 0, 40)
	other := server(e, "b1", "fast", 40, 80)
	rest := server(e, "a2", "fast", 40, 80)
	half.Zone, other.Zone, rest.Zone = "a", "b", "a"
	criteria := Criteria{
		Size: RequestSize{TotalTokens: 900}, Home: "a", FirstEventObjective: time.Second, MaxFirstEvent: time.Second, Incomplete: true,
		EstimateFirstEvent: func(_ kwid.EndpointID, idle time.Duration) time.Duration { return idle },
	}
	excludeNone := func(kwid.EndpointID) bool { return false }
	if chain, ok := Choose(e, []Server{half, other}, excludeNone, criteria); ok {
		t.Errorf("got %q with an incomplete list of endpoints, want no chain", ids(chain))
	}
	chain, ok := Choose(e, []Server{half, other, rest}, excludeNone, criteria)
	if got, want := ids(chain), "a1=0-40 a2=40-80 "; !ok || got != want {
		t.Errorf("got %q, want %q", got, want)
	}
}
