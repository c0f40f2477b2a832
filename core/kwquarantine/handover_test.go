package kwquarantine

import (
	"fmt"
	"testing"
	"time"

	"knapweedproxy/core/kwid"
)

// TestCrashesSurviveAChangeOfLeader guards against a crashing part whose crashes are counted anew by each leader.
func TestCrashesSurviveAChangeOfLeader(t *testing.T) {
	f := newFixture(t)
	guard := NewGuard(DefaultGuardConfig())
	for i := range 2 {
		f.reportTo(guard, i, "bad", kwid.PromptPartID(fmt.Sprint("session-", i)))
		f.advance(5 * time.Second)
	}
	f.r = NewRegistry(f.cfg)
	for _, ev := range guard.Reported(f.now) {
		f.r.RecordCrash(f.now, ev)
	}
	f.settle()
	f.wantQuarantined()
	f.reportTo(guard, 2, "bad", "session-2")
	f.settle()
	f.wantQuarantined("bad")
}

// reportTo records a crash that the entry of a guard reports.
func (f *fixture) reportTo(guard *Guard, process int, parts ...kwid.PromptPartID) {
	ev := Evidence{Crash: processOf(process), Request: kwid.RequestID(fmt.Sprint("request-", process)), Parts: parts}
	guard.RecordReported(f.now, ev)
	f.r.RecordCrash(f.now, ev)
}

// TestNewLeaderAwaitsSoundRequests guards against a quarantine of a sound part, whose crashes are handed over before its sound requests.
func TestNewLeaderAwaitsSoundRequests(t *testing.T) {
	f := newFixture(t)
	for i := range 4 {
		f.r.RecordCrash(f.now, Evidence{Crash: processOf(i), Request: kwid.RequestID(fmt.Sprint(i)), Parts: partIDs{"sound"}, Age: time.Duration(9-i) * time.Second})
	}
	f.r.RecordServed(f.now, 0)
	f.advance(handoverTime - 1)
	f.r.Decide(f.now)
	f.wantQuarantined()
	f.sound(2*time.Second, "sound")
	f.settle()
	f.wantQuarantined()
}

func TestReportedIsBounded(t *testing.T) {
	g := NewGuard(DefaultGuardConfig())
	for i := range 2 * maxReported {
		g.RecordReported(testStart, Evidence{Crash: processOf(i)})
	}
	if got := len(g.Reported(testStart)); got != maxReported {
		t.Errorf("got %d requests, want %d", got, maxReported)
	}
	if got := g.Reported(testStart.Add(time.Second))[0]; got.Crash != processOf(maxReported) || got.Age != time.Second {
		t.Errorf("got the crash of %v, %v ago, want that of %v, 1s ago", got.Crash, got.Age, processOf(maxReported))
	}
	if got := len(g.Reported(testStart.Add(g.cfg.Memory + 1))); got != 0 {
		t.Errorf("got %d requests after Memory, want none", got)
	}
}
