package kwquarantine

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
)

var testStart = time.Unix(1_700_000_000, 0)

// fixture drives a Registry with a fake clock.
type fixture struct {
	t   *testing.T
	cfg Config
	r   *Registry
	now time.Time
}

// newFixture returns a fixture without MinSpread, so that crashes of one moment count.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	cfg := DefaultConfig()
	cfg.MinSpread = 0
	return newFixtureWith(t, cfg)
}

func newFixtureWith(t *testing.T, cfg Config) *fixture {
	t.Helper()
	return &fixture{t: t, cfg: cfg, r: NewRegistry(cfg), now: testStart}
}

func (f *fixture) advance(d time.Duration) { f.now = f.now.Add(d) }

// crash records one crash of a process, given by a number, under one request.
func (f *fixture) crash(process int, request kwid.RequestID, parts ...kwid.PromptPartID) {
	f.r.RecordCrash(f.now, Evidence{Crash: processOf(process), Request: request, Parts: parts})
}

func processOf(n int) kwmembership.Process {
	return kwmembership.Process{Endpoint: kwid.EndpointID(fmt.Sprint("server-", n)), StartedMillis: kwmembership.StartMillis(n)}
}

// crashes records crashes of several processes, each under a request of its own.
func (f *fixture) crashes(from, n int, parts ...kwid.PromptPartID) {
	for i := range n {
		f.crash(from+i, kwid.RequestID(fmt.Sprint("request-", from+i)), parts...)
	}
}

func (f *fixture) sound(age time.Duration, part kwid.PromptPartID) {
	f.r.RecordSound(f.now, []Sound{{Part: part, Age: age}})
}

// settle lets entries report that other requests are served, and decides, as often as entries watch.
func (f *fixture) settle() {
	for range 20 {
		f.advance(100 * time.Millisecond)
		f.r.RecordServed(f.now, 0)
		f.r.Decide(f.now)
	}
}

// serve reports that other requests are served as early as that counts, and waits until the crashes up to now are settled.
func (f *fixture) serve() {
	f.advance(evidenceDelay)
	f.r.RecordServed(f.now, 0)
	f.advance(f.cfg.Settle)
}

func (f *fixture) quarantined() []kwid.PromptPartID {
	parts := []kwid.PromptPartID{}
	for _, q := range f.r.Quarantined(f.now) {
		parts = append(parts, q.Part)
	}
	return parts
}

func (f *fixture) wantQuarantined(want ...kwid.PromptPartID) {
	f.t.Helper()
	if got := f.quarantined(); !slices.Equal(got, want) {
		f.t.Errorf("quarantined: got %v, want %v", got, want)
	}
}

func (f *fixture) wantSuspects(want ...kwid.PromptPartID) {
	f.t.Helper()
	if got := f.r.Suspects(f.now); !slices.Equal(got, want) {
		f.t.Errorf("suspects: got %v, want %v", got, want)
	}
}

func (f *fixture) wantRemaining(part kwid.PromptPartID, want time.Duration) {
	f.t.Helper()
	for _, q := range f.r.Quarantined(f.now) {
		if q.Part == part {
			if q.Remaining != want {
				f.t.Errorf("remaining of %s: got %v, want %v", part, q.Remaining, want)
			}
			return
		}
	}
	f.t.Errorf("remaining of %s: got no quarantine, want %v", part, want)
}

func TestQuarantineNeedsCrashesAndRequests(t *testing.T) {
	tests := []struct {
		name string
		// crashes are pairs of a process and a request.
		crashes [][2]int
		want    []kwid.PromptPartID
	}{
		{"no crash", nil, nil},
		{"two processes", [][2]int{{1, 1}, {2, 2}, {2, 3}, {1, 4}}, nil},
		{"one request", [][2]int{{1, 1}, {2, 1}, {3, 1}, {4, 1}}, nil},
		{"three processes, two requests", [][2]int{{1, 1}, {2, 1}, {3, 2}}, []kwid.PromptPartID{"bad"}},
		{"three processes, one request on all", [][2]int{{1, 1}, {1, 2}, {2, 1}, {3, 1}}, nil},
		{"one request on all but one", [][2]int{{1, 1}, {2, 1}, {3, 1}, {4, 2}}, nil},
		{"one request on all but two", [][2]int{{1, 1}, {2, 1}, {3, 1}, {4, 2}, {5, 3}}, []kwid.PromptPartID{"bad"}},
		{"two requests that crash servers", [][2]int{{1, 1}, {2, 1}, {3, 1}, {4, 2}, {5, 2}, {6, 2}}, []kwid.PromptPartID{"bad"}},
		{"three processes, three requests", [][2]int{{1, 1}, {2, 2}, {3, 3}}, []kwid.PromptPartID{"bad"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			for _, c := range tt.crashes {
				f.crash(c[0], kwid.RequestID(fmt.Sprint(c[1])), "bad")
			}
			f.settle()
			f.wantQuarantined(tt.want...)
		})
	}
}

func TestQuarantineCountsProcessesOfOneEndpoint(t *testing.T) {
	f := newFixture(t)
	for i := range 3 {
		f.r.RecordCrash(f.now, Evidence{
			Crash:   kwmembership.Process{Endpoint: "server", StartedMillis: kwmembership.StartMillis(i)},
			Request: kwid.RequestID(fmt.Sprint(i)),
			Parts:   []kwid.PromptPartID{"bad"},
		})
	}
	f.settle()
	f.wantQuarantined("bad")
}

func TestQuarantineWaitsForSettle(t *testing.T) {
	f := newFixture(t)
	f.crashes(0, 2, "bad")
	f.advance(time.Second)
	f.crashes(2, 1, "bad")
	f.advance(300 * time.Millisecond)
	f.crashes(3, 1, "bad")
	for _, step := range []struct {
		advance time.Duration
		want    bool
	}{{0, false}, {f.cfg.Settle - 1, false}, {1, true}, {1, false}} {
		f.advance(step.advance)
		f.r.RecordServed(f.now, 0)
		if got := f.r.Decide(f.now); got != step.want {
			t.Errorf("Decide %v after the first crash: got %t, want %t", f.now.Sub(testStart), got, step.want)
		}
	}
	f.wantQuarantined("bad")
}

func TestSoundRequestClearsCrashes(t *testing.T) {
	tests := []struct {
		name string
		age  time.Duration
		want []kwid.PromptPartID
	}{
		{"after the crashes", 0, nil},
		{"before the crashes", 600 * time.Millisecond, []kwid.PromptPartID{"part"}},
		{"older than Memory", time.Hour, []kwid.PromptPartID{"part"}},
		{"negative age", -time.Second, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			f.crashes(0, 5, "part")
			f.advance(500 * time.Millisecond)
			f.sound(tt.age, "part")
			f.wantSuspects(tt.want...)
			f.settle()
			f.wantQuarantined(tt.want...)
		})
	}
}

func TestEarlierSoundTimeDoesNotCount(t *testing.T) {
	f := newFixture(t)
	f.crashes(0, 2, "part")
	f.advance(time.Second)
	f.sound(0, "part")
	f.sound(30*time.Second, "part")
	// The processes crashed before the sound request, so that further requests that they ended say nothing.
	f.crash(0, "late", "part")
	f.crashes(2, 2, "part")
	f.wantSuspects()
	f.advance(time.Millisecond)
	f.crashes(4, 2, "part")
	f.settle()
	f.wantSuspects("part")
	f.wantQuarantined()
}

func TestPopularPartIsNotQuarantined(t *testing.T) {
	f := newFixture(t)
	for i := range 300 {
		f.crashes(i, 1, "first", "other")
		f.advance(300 * time.Millisecond)
		if i%2 == 0 {
			f.sound(10*time.Millisecond, "first")
		}
		f.r.Decide(f.now)
		if got := f.quarantined(); slices.Contains(got, "first") {
			t.Fatalf("crash %d: got %v quarantined, want no first part", i, got)
		}
	}
	f.wantQuarantined("other")
}

func TestServersThatCrashTogether(t *testing.T) {
	f := newFixture(t)
	for server := range 10 {
		for i := range 4 {
			f.crash(server, kwid.RequestID(fmt.Sprint(server, "-", i)), "first", kwid.PromptPartID(fmt.Sprint("rare-", (4*server+i)%7)))
		}
	}
	for range 30 {
		f.advance(100 * time.Millisecond)
		for _, part := range f.r.Suspects(f.now) {
			f.sound(50*time.Millisecond, part)
		}
		f.r.Decide(f.now)
		f.wantQuarantined()
	}
}

func TestOldestSoundRequestGoesFirst(t *testing.T) {
	// The IDs are in the opposite order.
	const never, old, recent = kwid.PromptPartID("z-never"), kwid.PromptPartID("y-old"), kwid.PromptPartID("x-recent")
	tests := []struct {
		name  string
		parts []kwid.PromptPartID
		want  kwid.PromptPartID
	}{
		{"never served before served", []kwid.PromptPartID{recent, never, old}, never},
		{"older before recent", []kwid.PromptPartID{recent, old}, old},
		{"smaller ID", []kwid.PromptPartID{"b", "a", "c"}, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			f.crash(0, "earlier", recent, old)
			f.advance(time.Second)
			f.sound(0, recent)
			f.sound(500*time.Millisecond, old)
			f.advance(time.Second)
			f.crashes(10, 4, tt.parts...)
			f.settle()
			f.wantQuarantined(tt.want)
		})
	}
}

// TestDecisionWaitsForEvidenceOfTheLastCrash checks that a part in all crashing requests does not go first because the request
// that caused the last crash is reported later than another one that the crash ended.
func TestDecisionWaitsForEvidenceOfTheLastCrash(t *testing.T) {
	f := newFixture(t)
	f.crash(100, "earlier", "first")
	f.advance(time.Second)
	f.sound(0, "first")
	f.advance(time.Second)
	f.crashes(0, 3, "first", "the-crashing-part")
	f.serve()
	f.advance(-50 * time.Millisecond)
	f.crash(3, "innocent", "first")
	f.advance(50 * time.Millisecond)
	f.wantChanged(false)
	f.crash(3, "culprit", "first", "the-crashing-part")
	f.settle()
	f.wantQuarantined("the-crashing-part")
}

func TestMoreCrashesGoFirst(t *testing.T) {
	f := newFixture(t)
	f.crashes(0, 4, "a", "b")
	f.crashes(10, 1, "b")
	f.settle()
	f.wantQuarantined("b")
}

func TestQuarantineExplainsCrashes(t *testing.T) {
	f := newFixture(t)
	// Each crash ends requests with the bad part, and others with innocent parts.
	for i := range 5 {
		f.crash(i, kwid.RequestID(fmt.Sprint("innocent-", i)), "innocent")
		f.crash(i, kwid.RequestID(fmt.Sprint("bad-", i)), "bad", "companion")
	}
	f.crash(9, "bad-9", "bad")
	f.settle()
	f.wantQuarantined("bad")
	f.wantSuspects("bad")

	// Evidence for an explained crash counts for nothing.
	f.crashes(0, 5, "late")
	f.wantSuspects("bad")

	// A request with a quarantined part explains its crash, in either order.
	for i := 20; i < 25; i++ {
		f.crash(i, kwid.RequestID(fmt.Sprint("innocent-", i)), "innocent")
		f.crash(i, kwid.RequestID(fmt.Sprint("bad-", i)), "bad")
	}
	for i := 30; i < 35; i++ {
		f.crash(i, kwid.RequestID(fmt.Sprint("bad-", i)), "bad")
		f.crash(i, kwid.RequestID(fmt.Sprint("innocent-", i)), "innocent")
	}
	f.wantSuspects("bad")

	// Other crashes still count.
	f.crashes(40, 3, "second", "innocent")
	f.crash(43, "alone", "second")
	f.settle()
	f.wantQuarantined("bad", "second")
}

// TestTwoCrashingPartsAtOnce checks that both parts are quarantined as soon as the crashes under them are settled.
func TestTwoCrashingPartsAtOnce(t *testing.T) {
	f := newFixtureWith(t, DefaultConfig())
	for i := range 4 {
		if i > 0 {
			f.advance(f.cfg.MinSpread / 2)
		}
		f.crash(i, kwid.RequestID(fmt.Sprint("x-", i)), "x")
		f.crash(10+i, kwid.RequestID(fmt.Sprint("y-", i)), "y")
	}
	f.serve()
	f.r.Decide(f.now)
	f.wantQuarantined("x", "y")
}

func TestMinSpread(t *testing.T) {
	spread := DefaultConfig().MinSpread
	tests := []struct {
		name string
		// at is when the crashes are recorded.
		at   []time.Duration
		want []kwid.PromptPartID
	}{
		{"one moment", make([]time.Duration, 30), nil},
		{"shorter", []time.Duration{0, spread / 2, spread - 1}, nil},
		{"as long", []time.Duration{0, 0, spread}, []kwid.PromptPartID{"bad"}},
		{"the fourth crash", []time.Duration{0, 0, 0, 2 * spread}, []kwid.PromptPartID{"bad"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixtureWith(t, DefaultConfig())
			for i, at := range tt.at {
				f.now = testStart.Add(at)
				f.crashes(i, 1, "bad")
			}
			f.settle()
			f.wantQuarantined(tt.want...)
		})
	}
}

// TestOutage checks that a decision waits for service, and after an outage for another crash and for Settle.
func TestOutage(t *testing.T) {
	const outage = 10 * time.Second
	tests := []struct {
		name string
		// servedAge is the age of the sound request that is reported after the outage, negative for none.
		servedAge time.Duration
		// crashAgain makes a server crash under the first part after that, and firstServed makes entries report a sound request of
		// the first part just before the decision.
		crashAgain, firstServed bool
		want                    []kwid.PromptPartID
	}{
		{"nothing served", -1, true, false, nil},
		{"served before the crash", outage + 1, true, false, nil},
		{"served before the crash and reported late", outage - evidenceDelay + 1, true, false, nil},
		{"no outage", outage - evidenceDelay, false, false, []kwid.PromptPartID{"first"}},
		{"short outage", outage - minOutage, false, false, []kwid.PromptPartID{"first"}},
		{"outage", 0, false, false, nil},
		{"crash after the outage", 0, true, false, []kwid.PromptPartID{"first"}},
		{"crash and sound request after the outage", 0, true, true, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixtureWith(t, DefaultConfig())
			f.crashes(100, 1, "first")
			f.advance(time.Second)
			f.sound(0, "first")
			f.advance(time.Second)
			start := f.now
			for i := range 7 {
				f.now = start.Add(time.Duration(i) * f.cfg.MinSpread / 2)
				f.crashes(i, 1, "first")
			}
			f.now = start.Add(f.cfg.MinSpread + outage)
			f.wantChanged(false)
			if tt.servedAge >= 0 {
				f.r.RecordServed(f.now, tt.servedAge)
			}
			f.wantChanged(false)
			if tt.crashAgain {
				f.advance(50 * time.Millisecond)
				f.crashes(7, 1, "first")
			}
			f.advance(f.cfg.Settle - 1)
			f.wantChanged(false)
			if tt.firstServed {
				f.sound(0, "first")
			}
			f.advance(1)
			f.wantChanged(len(tt.want) > 0)
			f.settle()
			f.wantQuarantined(tt.want...)
		})
	}
}

// TestSoundRequestsOfOtherSuspectsAreService checks that entries need not report anything else.
func TestSoundRequestsOfOtherSuspectsAreService(t *testing.T) {
	f := newFixture(t)
	f.crashes(0, 3, "bad", "first")
	f.advance(evidenceDelay)
	f.sound(0, "first")
	f.advance(f.cfg.Settle)
	f.wantChanged(true)
	f.wantQuarantined("bad")
}

// TestManyCrashesKeepTheDecisiveOnes checks that a part with more crashes than are kept is decided on in time.
func TestManyCrashesKeepTheDecisiveOnes(t *testing.T) {
	f := newFixtureWith(t, DefaultConfig())
	f.crashes(0, 2*maxCrashesPerPart, "bad")
	for i := range 4 {
		f.advance(f.cfg.MinSpread)
		f.r.RecordServed(f.now, 0)
		f.crashes((2+i)*maxCrashesPerPart, maxCrashesPerPart/2, "bad")
	}
	f.advance(f.cfg.Settle - 2*f.cfg.MinSpread - 1)
	f.wantChanged(false)
	f.advance(1)
	f.wantChanged(true)
	f.wantQuarantined("bad")
}

// TestRarePartYields checks that parts of sessions that were never served are not quarantined for the crashes under a part that
// all sessions share and that was served soundly before.
func TestRarePartYields(t *testing.T) {
	f := newFixture(t)
	f.crash(100, "earlier", "shared")
	f.advance(time.Second)
	f.sound(0, "shared")
	f.advance(time.Second)
	f.crashes(0, 3, "shared", "session-a")
	f.advance(50 * time.Millisecond)
	f.crashes(3, 3, "shared", "session-b")
	f.settle()
	f.wantQuarantined("shared")
	f.wantSuspects("shared")
}

// TestPartsWithTheSameCrashesWait checks that a decision between parts with the same crashes waits for another Settle, and is
// taken then.
func TestPartsWithTheSameCrashesWait(t *testing.T) {
	for _, resolved := range []bool{false, true} {
		f := newFixture(t)
		f.crashes(0, 3, "shared", "session")
		f.serve()
		f.r.Decide(f.now)
		f.wantQuarantined()
		want := kwid.PromptPartID("session")
		if resolved {
			f.crashes(3, 1, "shared")
			want = "shared"
		}
		for range 10 {
			f.advance(f.cfg.Settle / 10)
			f.r.Decide(f.now)
		}
		f.wantQuarantined(want)
	}
}

func TestMemory(t *testing.T) {
	f := newFixture(t)
	f.crashes(0, 2, "part")
	f.advance(f.cfg.Memory)
	f.wantSuspects("part")
	f.advance(time.Millisecond)
	f.wantSuspects()
	f.crashes(2, 2, "part")
	f.settle()
	f.wantQuarantined()
	f.crashes(4, 1, "part")
	f.settle()
	f.wantQuarantined("part")
}

// quarantine returns a fixture with one quarantined part.
func quarantine(t *testing.T) *fixture {
	t.Helper()
	f := newFixture(t)
	f.crashes(0, 3, "bad")
	f.serve()
	if got, want := f.r.Decide(f.now), true; got != want {
		t.Fatalf("Decide: got %t, want %t", got, want)
	}
	f.wantRemaining("bad", f.cfg.FirstTerm)
	return f
}

func (f *fixture) wantTrial(part kwid.PromptPartID, want bool) {
	f.t.Helper()
	if got := f.r.StartTrial(f.now, part); got != want {
		f.t.Errorf("trial of %s after %v: got %t, want %t", part, f.now.Sub(testStart), got, want)
	}
}

func (f *fixture) wantChanged(want bool) {
	f.t.Helper()
	if got := f.r.Decide(f.now); got != want {
		f.t.Errorf("Decide after %v: got %t, want %t", f.now.Sub(testStart), got, want)
	}
}

func TestTrialIsDueOnceAfterTheTerm(t *testing.T) {
	f := quarantine(t)
	f.wantTrial("other", false)
	f.advance(f.cfg.FirstTerm - 1)
	f.wantRemaining("bad", 1)
	f.wantTrial("bad", false)
	f.advance(1)
	f.wantRemaining("bad", 0)
	f.advance(10 * time.Second)
	f.wantRemaining("bad", 0)
	f.wantChanged(false)
	f.wantTrial("bad", true)
	f.wantChanged(true)
	f.wantTrial("bad", false)
	f.wantRemaining("bad", f.cfg.TrialTimeout)
	f.advance(f.cfg.TrialTimeout - 1)
	f.wantTrial("bad", false)
	f.advance(1)
	f.wantRemaining("bad", 0)
	f.wantTrial("bad", true)
	f.wantTrial("bad", false)
}

func TestSoundTrialLifts(t *testing.T) {
	f := quarantine(t)
	f.sound(0, "bad")
	f.wantQuarantined("bad")
	f.advance(f.cfg.FirstTerm)
	f.sound(0, "bad")
	f.wantQuarantined("bad")
	f.wantTrial("bad", true)
	f.wantChanged(true)
	f.advance(time.Second)
	f.sound(time.Second, "bad")
	f.sound(2*time.Second, "bad")
	f.wantQuarantined("bad")
	f.wantChanged(false)
	f.sound(time.Second-1, "bad")
	f.wantQuarantined()
	f.wantSuspects()
	f.wantChanged(true)
	f.wantTrial("bad", false)
}

func TestFailedTrialDoublesTheTerm(t *testing.T) {
	f := quarantine(t)
	want := f.cfg.FirstTerm
	for i := range 10 {
		f.wantRemaining("bad", want)
		f.advance(want)
		f.wantTrial("bad", true)
		f.wantChanged(true)
		f.advance(time.Second)
		// The request is repeated, which counts once.
		f.crash(100+2*i, kwid.RequestID(fmt.Sprint("trial-", i)), "bad")
		f.crash(101+2*i, kwid.RequestID(fmt.Sprint("trial-", i)), "bad")
		f.wantChanged(true)
		want = min(2*want, f.cfg.MaxTerm)
		// A sound request dated after the start of a failed trial no longer counts.
		f.sound(500*time.Millisecond, "bad")
		f.wantTrial("bad", false)
	}
	f.wantRemaining("bad", f.cfg.MaxTerm)
}

func TestCrashBeforeTheTrialDoesNotFailIt(t *testing.T) {
	f := quarantine(t)
	f.advance(f.cfg.FirstTerm - time.Second)
	f.crash(50, "innocent", "other")
	f.advance(time.Second)
	f.wantTrial("bad", true)
	f.advance(time.Second)
	f.crash(50, "late report", "bad")
	f.wantRemaining("bad", f.cfg.TrialTimeout-time.Second)
	f.sound(500*time.Millisecond, "bad")
	f.wantQuarantined()
}

func TestCrashesAfterALiftDoubleTheTerm(t *testing.T) {
	tests := []struct {
		name  string
		after time.Duration
		want  time.Duration
	}{
		{"within Memory", DefaultConfig().Memory, 2 * DefaultConfig().FirstTerm},
		{"later", DefaultConfig().Memory + time.Second, DefaultConfig().FirstTerm},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := quarantine(t)
			f.advance(f.cfg.FirstTerm)
			f.wantTrial("bad", true)
			f.advance(time.Second)
			f.sound(0, "bad")
			f.wantQuarantined()
			f.advance(tt.after)
			f.crashes(20, 3, "bad")
			f.serve()
			f.r.Decide(f.now)
			f.wantRemaining("bad", tt.want)
		})
	}
}

func TestIdleQuarantineIsForgotten(t *testing.T) {
	f := quarantine(t)
	f.advance(f.cfg.FirstTerm + f.cfg.IdleExpiry)
	f.wantQuarantined("bad")
	f.wantChanged(false)
	f.advance(1)
	f.wantQuarantined()
	f.wantSuspects()
	f.wantChanged(true)

	f = quarantine(t)
	f.advance(f.cfg.FirstTerm + f.cfg.IdleExpiry)
	f.wantTrial("bad", true)
	f.advance(f.cfg.IdleExpiry)
	f.wantQuarantined("bad")
	f.advance(1)
	f.wantQuarantined()
}

func TestAdopt(t *testing.T) {
	f := newFixture(t)
	f.crashes(0, 2, "held", "innocent")
	f.r.Adopt(f.now, []Quarantine{{Part: "held", Remaining: 40 * time.Second}, {Part: "due", Remaining: -time.Second}})
	f.wantChanged(true)
	f.wantQuarantined("due", "held")
	f.wantSuspects("due", "held")
	f.wantRemaining("held", 40*time.Second)
	f.wantRemaining("due", 0)
	f.r.Adopt(f.now, []Quarantine{{Part: "held", Remaining: 30 * time.Second}})
	f.wantChanged(false)
	f.wantRemaining("held", 40*time.Second)
	f.r.Adopt(f.now, []Quarantine{{Part: "held", Remaining: 50 * time.Second}})
	f.wantChanged(true)
	f.wantRemaining("held", 50*time.Second)
	f.r.Adopt(f.now, []Quarantine{{Part: "long", Remaining: 100 * time.Hour}})
	f.wantRemaining("long", f.cfg.MaxTerm)

	// A trial fails with twice the first term at least.
	f.wantTrial("due", true)
	f.crash(10, "trial", "due")
	f.wantRemaining("due", 2*f.cfg.FirstTerm)

	// What this leader has lifted is not adopted from an entry with an older view.
	f.advance(50 * time.Second)
	f.wantTrial("held", true)
	f.advance(time.Second)
	f.sound(0, "held")
	f.r.Adopt(f.now, []Quarantine{{Part: "held", Remaining: time.Second}})
	f.wantQuarantined("due", "long")
}

func TestReset(t *testing.T) {
	f := quarantine(t)
	f.crashes(20, 2, "other")
	f.r.Reset()
	f.wantChanged(true)
	f.wantChanged(false)
	f.wantQuarantined()
	f.wantSuspects()
}

func TestResultsAreCopies(t *testing.T) {
	f := quarantine(t)
	f.r.Suspects(f.now)[0] = "changed"
	f.r.Quarantined(f.now)[0].Part = "changed"
	f.wantSuspects("bad")
	f.wantQuarantined("bad")
}

func TestRegistryBounds(t *testing.T) {
	t.Run("suspects", func(t *testing.T) {
		f := newFixture(t)
		for i := range maxSuspects + 10 {
			f.advance(time.Millisecond)
			f.crashes(i, 1, kwid.PromptPartID(fmt.Sprintf("part-%04d", i)))
		}
		got := f.r.Suspects(f.now)
		if len(got) != maxSuspects || got[0] != "part-0010" {
			t.Errorf("got %d suspects from %s, want %d from part-0010", len(got), got[0], maxSuspects)
		}
	})
	t.Run("crashes", func(t *testing.T) {
		f := newFixture(t)
		f.crashes(0, 1, "forgotten")
		f.crashes(1, maxCrashes, "part")
		f.wantSuspects("part")
		if got := len(f.r.crashes); got != maxCrashes {
			t.Errorf("got %d crashes, want %d", got, maxCrashes)
		}
		if got := len(f.r.crashOf); got != maxCrashes {
			t.Errorf("got %d crashes by ID, want %d", got, maxCrashes)
		}
	})
	t.Run("crashes per part", func(t *testing.T) {
		f := newFixture(t)
		f.crashes(0, maxCrashesPerPart, "part")
		f.serve()
		f.advance(-time.Millisecond)
		f.crashes(maxCrashesPerPart, 100, "part")
		if got := len(f.r.parts["part"].crashes); got != maxCrashesPerPart {
			t.Errorf("got %d crashes, want %d", got, maxCrashesPerPart)
		}
		f.advance(time.Millisecond)
		f.wantChanged(true)
		f.wantQuarantined("part")
	})
	t.Run("parts per evidence", func(t *testing.T) {
		f := newFixture(t)
		var parts []kwid.PromptPartID
		for i := range maxPartsPerEvidence + 5 {
			parts = append(parts, kwid.PromptPartID(fmt.Sprintf("part-%04d", i)))
		}
		f.crashes(0, 1, parts...)
		f.wantSuspects(parts[:maxPartsPerEvidence]...)
	})
	t.Run("parts per crash", func(t *testing.T) {
		f := newFixture(t)
		for i := range maxPartsPerCrash {
			f.crash(0, "request", kwid.PromptPartID(fmt.Sprintf("part-%04d", i)))
		}
		f.crash(0, "request", "too many")
		if got := f.r.Suspects(f.now); slices.Contains(got, "too many") || len(got) != maxPartsPerCrash {
			t.Errorf("got %d suspects, the last %s, want the first %d", len(got), got[len(got)-1], maxPartsPerCrash)
		}
	})
	t.Run("quarantined", func(t *testing.T) {
		f := newFixture(t)
		for i := range maxQuarantined + 2 {
			f.r.Adopt(f.now, []Quarantine{{Part: kwid.PromptPartID(fmt.Sprintf("part-%04d", i)), Remaining: time.Duration(i)}})
		}
		got := f.r.Quarantined(f.now)
		if len(got) != maxQuarantined || got[0].Part != "part-0002" {
			t.Errorf("got %d quarantined from %s, want %d from part-0002", len(got), got[0].Part, maxQuarantined)
		}
	})
	t.Run("lifted", func(t *testing.T) {
		f := newFixture(t)
		for i := range maxQuarantined + 2 {
			part := kwid.PromptPartID(fmt.Sprintf("part-%04d", i))
			f.r.Adopt(f.now, []Quarantine{{Part: part}})
			f.wantTrial(part, true)
			f.advance(time.Millisecond)
			f.sound(0, part)
		}
		f.wantQuarantined()
		if got := len(f.r.lifted); got != maxQuarantined {
			t.Errorf("got %d lifted quarantines, want %d", got, maxQuarantined)
		}
		f.advance(2*f.cfg.Memory + time.Second)
		f.r.Decide(f.now)
		if got := len(f.r.lifted) + len(f.r.parts); got != 0 {
			t.Errorf("got %d lifted quarantines and parts after Memory, want 0", got)
		}
	})
}

// TestQuarantinedIsSorted checks the order and that all terms run.
func TestQuarantinedIsSorted(t *testing.T) {
	f := newFixture(t)
	f.r.Adopt(f.now, []Quarantine{{Part: "c", Remaining: 3 * time.Second}, {Part: "a", Remaining: time.Second}, {Part: "b", Remaining: 5 * time.Second}})
	f.advance(2 * time.Second)
	want := []Quarantine{{Part: "a", Remaining: 0}, {Part: "b", Remaining: 3 * time.Second}, {Part: "c", Remaining: time.Second}}
	if got := f.r.Quarantined(f.now); !reflect.DeepEqual(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
