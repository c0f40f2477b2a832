package kwquarantine

import (
	"reflect"
	"testing"
	"time"

	"knapweedproxy/core/kwid"
)

// together makes a fixture in which a shared part and that of a session are in quarantine together.
func together(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t)
	f.crashes(0, 2, "session", "shared")
	f.advance(f.cfg.MinSpread)
	f.crashes(2, 1, "session", "shared")
	f.settle()
	want := []Quarantine{{Part: "session", With: partIDs{"shared"}}}
	if got := f.r.Quarantined(f.now); len(got) != 1 || !reflect.DeepEqual(withoutTerms(got), want) {
		t.Fatalf("got quarantines %v, want %v", got, want)
	}
	return f
}

func withoutTerms(quarantined []Quarantine) []Quarantine {
	for i := range quarantined {
		quarantined[i].Remaining = 0
	}
	return quarantined
}

// TestPartOfASessionHidesNoCrashingPart guards against a crashing part that is never in quarantine, since the part of a session that came
// with it each time is taken for it.
func TestPartOfASessionHidesNoCrashingPart(t *testing.T) {
	tests := []struct {
		name string
		// next happens after the two parts were quarantined together.
		next func(f *fixture)
		want []kwid.PromptPartID
	}{
		{"crash in another session", func(f *fixture) { f.crashes(3, 1, "shared", "session-b") }, partIDs{"shared"}},
		{"crash without the shared part", func(f *fixture) { f.crashes(3, 1, "session", "other") }, partIDs{"session"}},
		{"session is served", func(f *fixture) { f.sound(0, "session") }, partIDs{"shared"}},
		{"shared part is served", func(f *fixture) { f.sound(0, "shared") }, partIDs{"session"}},
		{"crash of another cause", func(f *fixture) { f.crashes(3, 1, "other") }, partIDs{"session"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := together(t)
			f.advance(time.Second)
			tt.next(f)
			f.settle()
			f.wantQuarantined(tt.want...)
		})
	}
}

func TestTrialOfPartsInQuarantineTogether(t *testing.T) {
	f := together(t)
	f.advance(f.cfg.FirstTerm)
	if !f.r.StartTrial(f.now, "session") {
		t.Fatal("got no trial, want one")
	}
	f.advance(time.Second)
	f.r.RecordSound(f.now, []Sound{{Part: "session"}, {Part: "shared"}})
	f.wantQuarantined()
}

func TestGuardKeepsPartsTogether(t *testing.T) {
	g := NewGuard(DefaultGuardConfig())
	g.Apply(testStart, nil, []Quarantine{{Part: "session", Remaining: time.Minute, With: partIDs{"shared"}}}, false)
	tests := []struct {
		parts []kwid.PromptPartID
		want  bool
	}{
		{partIDs{"session"}, false},
		{partIDs{"shared"}, false},
		{partIDs{"shared", "other", "session"}, true},
	}
	for _, tt := range tests {
		if _, got := g.Check(testStart, tt.parts); got != tt.want {
			t.Errorf("prompt with %v: got kept %t, want %t", tt.parts, got, tt.want)
		}
	}
	if got, want := g.Held(testStart), []Quarantine{{Part: "session", Remaining: time.Minute, With: partIDs{"shared"}}}; !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
