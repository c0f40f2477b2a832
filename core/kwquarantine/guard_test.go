package kwquarantine

import (
	"fmt"
	"reflect"
	"sync"
	"testing"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
)

type partIDs = []kwid.PromptPartID

func TestGuardReportsSoundRequestsOfSuspects(t *testing.T) {
	cfg := DefaultGuardConfig()
	g := NewGuard(cfg)
	now := testStart
	g.RecordSound(now, partIDs{"a", "b", "c"})
	now = now.Add(time.Second)
	g.RecordSound(now, partIDs{"b"})
	if got := g.Sounds(now); len(got) != 0 {
		t.Errorf("without suspects: got %v, want none", got)
	}
	g.Apply(now, partIDs{"b", "a", "unknown"}, nil, false)
	now = now.Add(time.Second)
	if got, want := g.Sounds(now), []Sound{{"a", 2 * time.Second}, {"b", time.Second}}; !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	// A time that goes back does not make a sound request younger or older.
	g.RecordSound(now.Add(-time.Minute), partIDs{"b"})
	now = testStart.Add(cfg.Memory + 1)
	if got, want := g.Sounds(now), []Sound{{"b", cfg.Memory + 1 - time.Second}}; !reflect.DeepEqual(got, want) {
		t.Errorf("after Memory: got %v, want %v", got, want)
	}
}

func TestGuardReportsItsLastSoundRequest(t *testing.T) {
	cfg := DefaultGuardConfig()
	g := NewGuard(cfg)
	want := func(now time.Time, want time.Duration, wantOK bool) {
		t.Helper()
		if got, ok := g.LastSound(now); ok != wantOK || ok && got != want {
			t.Errorf("after %v: got %v %t, want %v %t", now.Sub(testStart), got, ok, want, wantOK)
		}
	}
	g.Apply(testStart, partIDs{"a"}, nil, false)
	want(testStart, 0, false)
	g.RecordSound(testStart, nil)
	want(testStart, 0, true)
	g.RecordSound(testStart.Add(time.Second), partIDs{"b"})
	g.RecordSound(testStart, partIDs{"a"})
	want(testStart.Add(3*time.Second), 2*time.Second, true)
	want(testStart.Add(time.Second+cfg.Memory), cfg.Memory, true)
	want(testStart.Add(time.Second+cfg.Memory+1), 0, false)
	g.Apply(testStart, nil, nil, false)
	want(testStart.Add(3*time.Second), 0, false)
}

func TestGuardForgetsTheLeastRecentSoundRequest(t *testing.T) {
	g := NewGuard(DefaultGuardConfig())
	now := testStart
	g.RecordSound(now, partIDs{"kept", "forgotten"})
	for i := range maxSoundParts - 1 {
		g.RecordSound(now, partIDs{kwid.PromptPartID(fmt.Sprint(i)), "kept"})
	}
	g.Apply(now, partIDs{"kept", "forgotten"}, nil, false)
	if got, want := g.Sounds(now), []Sound{{"kept", 0}}; !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
	if got := len(g.soundOf); got != maxSoundParts {
		t.Errorf("got %d parts, want %d", got, maxSoundParts)
	}
}

func TestGuardApply(t *testing.T) {
	tests := []struct {
		name  string
		merge bool
		want  []Quarantine
	}{
		{"replace", false, []Quarantine{{Part: "b", Remaining: 10 * time.Second}, {Part: "c", Remaining: 0}, {Part: "d", Remaining: 30 * time.Second}}},
		{"merge", true, []Quarantine{{Part: "a", Remaining: 20 * time.Second}, {Part: "b", Remaining: 20 * time.Second}, {Part: "c", Remaining: 0}, {Part: "d", Remaining: 30 * time.Second}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewGuard(DefaultGuardConfig())
			g.Apply(testStart, partIDs{"a", "b"}, []Quarantine{{Part: "a", Remaining: time.Minute}, {Part: "b", Remaining: time.Minute}, {Part: "d", Remaining: time.Minute}}, false)
			now := testStart.Add(40 * time.Second)
			g.Apply(now, partIDs{"c"}, []Quarantine{{Part: "b", Remaining: 10 * time.Second}, {Part: "c", Remaining: -time.Second}, {Part: "d", Remaining: 30 * time.Second}}, tt.merge)
			if got := g.Held(now); !reflect.DeepEqual(got, tt.want) {
				t.Errorf("held: got %v, want %v", got, tt.want)
			}
			if got := g.Suspected(now, partIDs{"a"}); got != tt.merge {
				t.Errorf("earlier suspect: got %t, want %t", got, tt.merge)
			}
			if got, want := g.Suspected(now, partIDs{"c"}), true; got != want {
				t.Errorf("new suspect: got %t, want %t", got, want)
			}
		})
	}
}

func TestGuardCheck(t *testing.T) {
	g := NewGuard(DefaultGuardConfig())
	g.Apply(testStart, nil, []Quarantine{{Part: "short", Remaining: 5 * time.Second}, {Part: "long", Remaining: 20 * time.Second}}, false)
	tests := []struct {
		name   string
		after  time.Duration
		parts  partIDs
		want   Quarantine
		wantOK bool
	}{
		{"no part", 0, nil, Quarantine{}, false},
		{"other parts", 0, partIDs{"x", "y"}, Quarantine{}, false},
		{"one", time.Second, partIDs{"x", "short"}, Quarantine{Part: "short", Remaining: 4 * time.Second}, true},
		{"two", time.Second, partIDs{"long", "short"}, Quarantine{Part: "long", Remaining: 19 * time.Second}, true},
		{"two in the other order", time.Second, partIDs{"short", "long"}, Quarantine{Part: "long", Remaining: 19 * time.Second}, true},
		{"trial due", time.Hour, partIDs{"x", "short"}, Quarantine{Part: "short", Remaining: 0}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, ok := g.Check(testStart.Add(tt.after), tt.parts)
			if !reflect.DeepEqual(got, tt.want) || ok != tt.wantOK {
				t.Errorf("got %v %t, want %v %t", got, ok, tt.want, tt.wantOK)
			}
		})
	}
}

func TestGuardSuspected(t *testing.T) {
	cfg := DefaultGuardConfig()
	g := NewGuard(cfg)
	g.RecordSound(testStart, partIDs{"served", "innocent"})
	g.Apply(testStart, partIDs{"served", "never"}, nil, false)
	tests := []struct {
		name  string
		after time.Duration
		parts partIDs
		want  bool
	}{
		{"no part", 0, nil, false},
		{"no suspect", 0, partIDs{"innocent", "unknown"}, false},
		{"never served", 0, partIDs{"innocent", "never"}, true},
		{"served lately", cfg.RecentSound, partIDs{"served"}, false},
		{"served earlier", cfg.RecentSound + 1, partIDs{"served"}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := g.Suspected(testStart.Add(tt.after), tt.parts); got != tt.want {
				t.Errorf("got %t, want %t", got, tt.want)
			}
		})
	}
}

func TestGuardBoundsTheView(t *testing.T) {
	g := NewGuard(DefaultGuardConfig())
	for i := range 2 * maxViewParts {
		part := kwid.PromptPartID(fmt.Sprint(i))
		g.Apply(testStart, partIDs{part}, []Quarantine{{Part: part, Remaining: time.Minute}}, true)
	}
	if got := len(g.suspects); got != maxViewParts {
		t.Errorf("got %d suspects, want %d", got, maxViewParts)
	}
	if got := len(g.Held(testStart)); got != maxViewParts {
		t.Errorf("got %d quarantines, want %d", got, maxViewParts)
	}
}

// TestNewLeaderAdopts hands the quarantines over from one leader to the next by way of two entries.
func TestNewLeaderAdopts(t *testing.T) {
	f := quarantine(t)
	var guards []*Guard
	for range 2 {
		g := NewGuard(DefaultGuardConfig())
		g.Apply(f.now, f.r.Suspects(f.now), f.r.Quarantined(f.now), false)
		guards = append(guards, g)
	}
	f.r = NewRegistry(f.cfg)
	f.advance(10 * time.Second)
	// The first entry watches before the leader has heard of the quarantine.
	guards[0].Apply(f.now, f.r.Suspects(f.now), f.r.Quarantined(f.now), true)
	if _, ok := guards[0].Check(f.now, partIDs{"bad"}); !ok {
		t.Error("got no quarantine while the leader gathers, want the one of its predecessor")
	}
	for _, g := range guards {
		f.r.Adopt(f.now, g.Held(f.now))
	}
	f.wantRemaining("bad", f.cfg.FirstTerm-10*time.Second)
	guards[1].Apply(f.now, f.r.Suspects(f.now), f.r.Quarantined(f.now), false)
	want := Quarantine{Part: "bad", Remaining: f.cfg.FirstTerm - 10*time.Second}
	if got, ok := guards[1].Check(f.now, partIDs{"bad"}); !ok || !reflect.DeepEqual(got, want) {
		t.Errorf("got %v %t, want %v", got, ok, want)
	}
	f.advance(f.cfg.FirstTerm)
	f.wantTrial("bad", true)
	f.advance(time.Second)
	guards[1].RecordSound(f.now, partIDs{"bad"})
	f.r.RecordSound(f.now, guards[1].Sounds(f.now))
	f.wantQuarantined()
}

// TestConcurrentUse is for the race detector.
func TestConcurrentUse(t *testing.T) {
	g, r := NewGuard(DefaultGuardConfig()), NewRegistry(DefaultConfig())
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for j := range 200 {
				now := testStart.Add(time.Duration(j) * 10 * time.Millisecond)
				part := kwid.PromptPartID(fmt.Sprint((i + j) % 5))
				g.RecordSound(now, partIDs{part})
				r.RecordCrash(now, Evidence{Crash: kwmembership.Process{StartedMillis: 1}, Request: "r", Parts: partIDs{part}})
				r.RecordSound(now, g.Sounds(now))
				if age, ok := g.LastSound(now); ok {
					r.RecordServed(now, age)
				}
				r.Decide(now)
				r.Adopt(now, g.Held(now))
				r.StartTrial(now, part)
				g.Apply(now, r.Suspects(now), r.Quarantined(now), j%2 == 0)
				g.Check(now, partIDs{part})
				g.Suspected(now, partIDs{part})
			}
		})
	}
	wg.Wait()
}
