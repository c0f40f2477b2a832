package kwquarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
)

func testDigest(name string) kwid.RequestDigest {
	return DigestRequest("host.example", "/path", "workspace", []byte(name))
}

func testProcess(n int) kwmembership.Process {
	return kwmembership.Process{Endpoint: kwid.EndpointID(fmt.Sprint("server-", n)), StartedMillis: kwmembership.StartMillis(n)}
}

// crashUnder records a crash of a process under requests of these names, each with an ID of its own.
func (f *fixture) crashUnder(process int, names ...string) {
	for _, name := range names {
		f.r.RecordCrash(f.now, Evidence{Crash: testProcess(process), Request: kwid.RequestID(fmt.Sprint(name, process)), Digest: testDigest(name)})
	}
}

// crashesUnder records n crashes under the same requests, spread over time.
func (f *fixture) crashesUnder(from, n int, names ...string) {
	for i := range n {
		f.crashUnder(from+i, names...)
		f.advance(f.cfg.AnsweredSpread)
	}
}

// settleRequests decides as often as entries watch, for as long as a decision on requests may take.
func (f *fixture) settleRequests() {
	for range 12 {
		f.advance(100 * time.Millisecond)
		f.r.Decide(f.now)
	}
}

func (f *fixture) answered(age time.Duration, name string, unconfirmed bool) {
	f.r.RecordSoundRequests(f.now, []SoundRequest{{Digest: testDigest(name), Age: age, Unconfirmed: unconfirmed}})
}

func (f *fixture) wantHeld(names ...string) {
	f.t.Helper()
	var got, want []kwid.RequestDigest
	for _, h := range f.r.HeldRequests(f.now) {
		got = append(got, h.Digest)
	}
	for _, name := range names {
		want = append(want, testDigest(name))
	}
	slices.SortFunc(want, compareDigests)
	if !slices.Equal(got, want) {
		f.t.Errorf("held requests: got %v, want %v (%v)", got, want, names)
	}
}

func (f *fixture) heldRequest(name string) HeldRequest {
	f.t.Helper()
	for _, h := range f.r.HeldRequests(f.now) {
		if h.Digest == testDigest(name) {
			return h
		}
	}
	f.t.Fatalf("%s is not held", name)
	return HeldRequest{}
}

func TestDigestRequest(t *testing.T) {
	base := DigestRequest("host", "/path?a=1", "workspace", []byte("body"))
	if got := DigestRequest("host", "/path?a=1", "workspace", []byte("body")); got != base {
		t.Errorf("the same request: got %v, want %v", got, base)
	}
	for name, got := range map[string]kwid.RequestDigest{
		"host":             DigestRequest("host2", "/path?a=1", "workspace", []byte("body")),
		"target":           DigestRequest("host", "/path?a=2", "workspace", []byte("body")),
		"caller":           DigestRequest("host", "/path?a=1", "", []byte("body")),
		"body":             DigestRequest("host", "/path?a=1", "workspace", []byte("body2")),
		"shifted boundary": DigestRequest("hos", "t/path?a=1", "workspace", []byte("body")),
	} {
		if got == base || got.IsZero() {
			t.Errorf("another %s: got %v, want another digest", name, got)
		}
	}
	if got, want := len(base.String()), 32; got != want {
		t.Errorf("length of String: got %d, want %d", got, want)
	}
}

func TestRequestIsHeldAfterThreeProcesses(t *testing.T) {
	tests := []struct {
		name      string
		processes []int
		step      time.Duration
		want      bool
	}{
		{"two processes", []int{1, 2, 1, 2}, time.Second, false},
		{"three processes", []int{1, 2, 3}, 250 * time.Millisecond, true},
		{"three processes at one moment", []int{1, 2, 3}, 50 * time.Millisecond, false},
		{"a fourth later", []int{1, 2, 3, 4, 5, 6, 7, 8, 9, 10}, 50 * time.Millisecond, true},
		{"too far apart", []int{1, 2, 3}, 31 * time.Second, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixtureWith(t, DefaultConfig())
			for i, p := range tt.processes {
				if i > 0 {
					f.advance(tt.step)
				}
				f.crashUnder(p, "bad")
			}
			f.settleRequests()
			if got := len(f.r.HeldRequests(f.now)) > 0; got != tt.want {
				t.Errorf("held: got %t, want %t", got, tt.want)
			}
		})
	}
}

// TestRequestIsHeldWhileNothingIsServed checks that a decision needs RequestSettle after the third crash and nothing else, and that
// the due date is known.
func TestRequestIsHeldWhileNothingIsServed(t *testing.T) {
	f := newFixtureWith(t, DefaultConfig())
	f.crashUnder(1, "bad")
	f.advance(time.Second)
	f.crashUnder(2, "bad")
	f.advance(time.Second)
	f.crashUnder(3, "bad")
	f.wantChanged(false)
	if at, ok := f.r.DecideAt(); !ok || !at.Equal(f.now.Add(f.cfg.RequestSettle)) {
		t.Errorf("DecideAt: got %v after the crash, %t, want %v", at.Sub(f.now), ok, f.cfg.RequestSettle)
	}
	f.advance(f.cfg.RequestSettle)
	f.wantChanged(true)
	f.wantHeld("bad")
	if got, want := f.heldRequest("bad"), (HeldRequest{testDigest("bad"), time.Minute, time.Minute}); got != want {
		t.Errorf("got %v, want %v", got, want)
	}
}

func TestSoundRunClearsRequest(t *testing.T) {
	tests := []struct {
		name        string
		age         time.Duration
		unconfirmed bool
		want        []string
	}{
		{"after the crashes", 0, false, nil},
		{"before the crashes", 10 * time.Second, false, []string{"request"}},
		{"older than Memory", time.Hour, false, []string{"request"}},
		{"not confirmed in time", 0, true, []string{"request"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixtureWith(t, DefaultConfig())
			f.crashesUnder(0, 3, "request")
			f.answered(tt.age, "request", tt.unconfirmed)
			f.settleRequests()
			f.advance(confirmTime)
			f.settleRequests()
			f.wantHeld(tt.want...)
		})
	}
}

// TestUnconfirmedAnswerDelaysHold checks that a request which servers have answered since waits until the answer is confirmed.
func TestUnconfirmedAnswerDelaysHold(t *testing.T) {
	f := newFixtureWith(t, DefaultConfig())
	f.crashesUnder(0, 3, "popular")
	f.answered(0, "popular", true)
	answeredAt := f.now
	f.settleRequests()
	f.wantHeld()
	f.r.RecordSoundRequests(f.now, []SoundRequest{{Digest: testDigest("popular"), Age: f.now.Sub(answeredAt)}})
	f.advance(confirmTime)
	f.settleRequests()
	f.wantHeld()
}

// TestHeldRequestExplainsCrashes checks that requests which ran next to a crashing one, on some of its crashes, are served.
func TestHeldRequestExplainsCrashes(t *testing.T) {
	f := newFixtureWith(t, DefaultConfig())
	f.crashesUnder(0, 3, "bad", "innocent")
	f.crashesUnder(3, 2, "bad")
	f.settleRequests()
	f.wantHeld("bad")
	// Requests that were under way when the hold began.
	f.crashesUnder(10, 3, "bad", "innocent")
	f.settleRequests()
	f.wantHeld("bad")
	for _, s := range f.r.SuspectRequests(f.now) {
		t.Errorf("got suspect %v, want none", s)
	}
	f.crashesUnder(20, 2, "innocent")
	f.settleRequests()
	f.wantHeld("bad")
}

// TestTiedRequests checks that of two requests on the same three crashes neither is held before the next one.
func TestTiedRequests(t *testing.T) {
	for _, bad := range []string{"a", "b"} {
		f := newFixtureWith(t, DefaultConfig())
		f.crashesUnder(0, 3, "a", "b")
		f.settleRequests()
		f.wantHeld()
		f.crashUnder(3, bad)
		f.settleRequests()
		f.wantHeld(bad)
	}
}

// TestWrongOfTiedRequestsIsReleased lets two requests run together on four crashes, so that the choice is by chance. The next crash
// corrects it.
func TestWrongOfTiedRequestsIsReleased(t *testing.T) {
	f := newFixtureWith(t, DefaultConfig())
	f.crashesUnder(0, 4, "a", "b")
	f.settleRequests()
	held := f.r.HeldRequests(f.now)
	if len(held) != 1 {
		t.Fatalf("got %d held requests, want 1", len(held))
	}
	other := "a"
	if held[0].Digest == testDigest("a") {
		other = "b"
	}
	f.crashUnder(10, other)
	f.settleRequests()
	f.wantHeld(other)
}

// TestAnsweredRequestYields checks that a request which was answered lately is served, also if it was on more crashes.
func TestAnsweredRequestYields(t *testing.T) {
	f := newFixtureWith(t, DefaultConfig())
	f.crashUnder(0, "popular")
	f.advance(time.Second)
	f.answered(100*time.Millisecond, "popular", false)
	f.crashesUnder(1, 1, "popular")
	f.crashesUnder(2, 3, "popular", "bad")
	f.settleRequests()
	f.wantHeld("bad")
}

// TestCrashAfterContestedHold guards against the hold of a request that ran next to the held one, for one crash of another cause.
func TestCrashAfterContestedHold(t *testing.T) {
	f := newFixtureWith(t, DefaultConfig())
	f.crashesUnder(0, 1, "bad")
	f.crashesUnder(1, 3, "bad", "rider")
	f.settleRequests()
	f.wantHeld("bad")
	f.crashesUnder(4, 1, "rider")
	f.settleRequests()
	f.wantHeld("bad")
	f.crashesUnder(5, 1, "rider")
	f.settleRequests()
	f.wantHeld("bad", "rider")
}

// TestRiderOfHeldRequestYields guards against the hold of a request that has more crashes than the crashing one only with those that a
// held request explains.
func TestRiderOfHeldRequestYields(t *testing.T) {
	f := newFixtureWith(t, DefaultConfig())
	f.crashesUnder(0, 1, "bad")
	f.crashesUnder(1, 3, "bad", "rider")
	f.settleRequests()
	f.wantHeld("bad")
	f.crashesUnder(4, 1, "second")
	f.crashesUnder(5, 2, "second", "rider")
	f.settleRequests()
	f.wantHeld("bad", "second")
}

// TestAnsweredRequestBesideOtherCrashes guards against the hold of a popular request that is on three of four crashes of other causes.
func TestAnsweredRequestBesideOtherCrashes(t *testing.T) {
	f := newFixtureWith(t, DefaultConfig())
	f.crashUnder(0, "popular")
	f.advance(time.Second)
	f.answered(100*time.Millisecond, "popular", false)
	f.crashesUnder(1, 2, "popular")
	f.crashesUnder(3, 1, "other")
	f.crashesUnder(4, 1, "popular")
	f.settleRequests()
	f.advance(confirmTime)
	f.settleRequests()
	f.wantHeld()
	// One more crash outweighs the one without it.
	f.crashesUnder(5, 1, "popular")
	f.settleRequests()
	f.wantHeld("popular")
}

func TestTwoCrashingRequests(t *testing.T) {
	f := newFixtureWith(t, DefaultConfig())
	for i := range 3 {
		f.crashUnder(2*i, "a")
		f.crashUnder(2*i+1, "b")
		f.advance(300 * time.Millisecond)
	}
	f.settleRequests()
	f.wantHeld("a", "b")
}

// TestServersThatCrashTogetherHoldNoRequest lets 30 servers crash within 0.8 s with popular requests on a few of them each.
func TestServersThatCrashTogetherHoldNoRequest(t *testing.T) {
	f := newFixtureWith(t, DefaultConfig())
	for server := range 30 {
		f.crashUnder(server, fmt.Sprint("popular ", server%6), fmt.Sprint("unique ", server))
		f.advance(800 * time.Millisecond / 30)
	}
	f.settleRequests()
	f.wantHeld()
}

func TestQuarantinedPartExplainsRequests(t *testing.T) {
	f := newFixtureWith(t, DefaultConfig())
	crash := func(process int, digest string, parts ...kwid.PromptPartID) {
		f.r.RecordCrash(f.now, Evidence{Crash: testProcess(process), Request: kwid.RequestID(fmt.Sprint(digest, process)), Digest: testDigest(digest), Parts: parts})
	}
	for i := range 4 {
		crash(i, fmt.Sprint("with part ", i), "bad")
		if i < 2 {
			crash(i, "rider")
		}
		f.advance(300 * time.Millisecond)
	}
	f.settle()
	f.wantQuarantined("bad")
	crash(4, "rider")
	f.settleRequests()
	f.wantHeld()
	// Evidence of an innocent request comes first, then that of the part.
	for i := range 4 {
		crash(10+i, "innocent")
		crash(10+i, fmt.Sprint("late ", i), "bad")
		f.advance(300 * time.Millisecond)
	}
	f.settleRequests()
	f.wantHeld()
}

// TestCrashingRequestConvictsNoPart lets a request with a rare part crash servers under an ID of its own each time, next to others.
func TestCrashingRequestConvictsNoPart(t *testing.T) {
	f := newFixtureWith(t, DefaultConfig())
	for i := range 6 {
		f.r.RecordCrash(f.now, Evidence{Crash: testProcess(i), Request: kwid.RequestID(fmt.Sprint(i)), Digest: testDigest("bad"), Parts: []kwid.PromptPartID{"rare", "route"}})
		f.r.RecordCrash(f.now, Evidence{Crash: testProcess(i), Request: "other", Digest: testDigest(fmt.Sprint("other ", i)), Parts: []kwid.PromptPartID{"route"}})
		f.settle()
	}
	f.wantQuarantined()
	f.wantHeld("bad")
}

// TestTwoCrashingRequestsConvictTheirPart holds both requests before the part can be decided on.
func TestTwoCrashingRequestsConvictTheirPart(t *testing.T) {
	f := newFixtureWith(t, DefaultConfig())
	for i := range 3 {
		for j, name := range []string{"a", "b"} {
			f.r.RecordCrash(f.now, Evidence{Crash: testProcess(2*i + j), Digest: testDigest(name), Parts: []kwid.PromptPartID{"common", kwid.PromptPartID(name)}})
			f.advance(300 * time.Millisecond)
		}
	}
	f.r.Decide(f.now)
	f.wantHeld("a", "b")
	f.wantQuarantined()
	f.settle()
	f.wantQuarantined("common")
}

func TestRequestTrial(t *testing.T) {
	f := newFixtureWith(t, DefaultConfig())
	f.crashesUnder(0, 3, "bad")
	f.settleRequests()
	trial := func() bool { return f.r.StartRequestTrial(f.now, testDigest("bad")) }
	if trial() {
		t.Error("trial within the term: got true, want false")
	}
	f.advance(f.heldRequest("bad").Remaining)
	if !trial() || trial() {
		t.Error("trials after the term: want one")
	}
	f.advance(f.cfg.TrialTimeout)
	if !trial() || trial() {
		t.Error("trials after TrialTimeout: want one")
	}
	f.crashUnder(10, "bad", "innocent")
	for i, want := range []time.Duration{2 * time.Minute, 4 * time.Minute, 8 * time.Minute, 16 * time.Minute, 32 * time.Minute, time.Hour, time.Hour} {
		h := f.heldRequest("bad")
		if h.Term != want || h.Remaining != want {
			t.Errorf("after failed trial %d: got %v, want %v", i+1, h, want)
		}
		f.advance(h.Remaining)
		if !trial() {
			t.Fatalf("trial %d: got false, want true", i+2)
		}
		f.crashUnder(20+i, "bad")
	}
	f.advance(f.heldRequest("bad").Remaining)
	trial()
	f.advance(5 * time.Second)
	f.answered(time.Second, "bad", true)
	f.wantHeld("bad")
	f.answered(time.Second, "bad", false)
	f.wantHeld()
	// One that crashes servers again soon is held for twice the term.
	f.crashesUnder(40, 3, "bad")
	f.settleRequests()
	if got, want := f.heldRequest("bad").Term, f.cfg.MaxTerm; got != want {
		t.Errorf("term after a release: got %v, want %v", got, want)
	}
}

// TestSoundRunAfterTheLastCrashReleases lets the confirmation of a run come after the decision.
func TestSoundRunAfterTheLastCrashReleases(t *testing.T) {
	f := newFixtureWith(t, DefaultConfig())
	f.crashesUnder(0, 3, "popular")
	answeredAt := f.now
	f.settleRequests()
	f.wantHeld("popular")
	f.answered(f.now.Sub(answeredAt), "popular", false)
	f.wantHeld()
}

func TestAdoptRequests(t *testing.T) {
	f := newFixtureWith(t, DefaultConfig())
	held := []HeldRequest{{Digest: testDigest("held"), Remaining: 20 * time.Second, Term: 2 * time.Minute}}
	suspects := []SuspectRequest{{Digest: testDigest("bad"), Crashes: 2}, {Digest: testDigest("once"), Crashes: 1}}
	f.r.AdoptRequests(f.now, held, suspects)
	f.r.AdoptRequests(f.now, held, suspects)
	if got, want := f.heldRequest("held"), held[0]; got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	// Views of different age name different numbers of crashes.
	f.r.AdoptRequests(f.now, nil, []SuspectRequest{{Digest: testDigest("once"), Crashes: 1}, {Digest: testDigest("older view"), Crashes: 1}})
	f.r.AdoptRequests(f.now, nil, []SuspectRequest{{Digest: testDigest("older view"), Crashes: 2}})
	for _, s := range f.r.SuspectRequests(f.now) {
		if want := map[kwid.RequestDigest]int{testDigest("bad"): 2, testDigest("once"): 1, testDigest("older view"): 2}[s.Digest]; s.Crashes != want {
			t.Errorf("crashes of %v: got %d, want %d", s.Digest, s.Crashes, want)
		}
	}
	f.settleRequests()
	f.wantHeld("held")
	// Two crashes of the earlier leader and one of this one are three; adopted twice they are still two.
	f.crashUnder(0, "bad")
	f.crashUnder(1, "once")
	f.settleRequests()
	f.wantHeld("held", "bad")

	f.advance(f.heldRequest("held").Remaining)
	f.r.StartRequestTrial(f.now, testDigest("held"))
	f.advance(time.Second)
	f.answered(0, "held", false)
	f.r.AdoptRequests(f.now, held, nil)
	f.wantHeld("bad")
}

// TestCrashThatTwoLeadersCountIsOne lets the report of a crash reach the next leader too, before or after the entries' views do.
func TestCrashThatTwoLeadersCountIsOne(t *testing.T) {
	earlier := newFixtureWith(t, DefaultConfig())
	earlier.crashesUnder(1, 2, "bad")
	suspects := earlier.r.SuspectRequests(earlier.now)
	for _, reportFirst := range []bool{false, true} {
		f := newFixtureWith(t, DefaultConfig())
		if reportFirst {
			f.crashUnder(2, "bad")
		}
		f.r.AdoptRequests(f.now, nil, suspects)
		f.r.AdoptRequests(f.now, nil, suspects)
		f.advance(100 * time.Millisecond)
		f.crashUnder(2, "bad")
		f.settleRequests()
		f.wantHeld()
		if got := f.r.SuspectRequests(f.now); len(got) != 1 || got[0].Crashes != 2 {
			t.Errorf("report first %v: got suspects %v, want one with 2 crashes", reportFirst, got)
		}
		f.crashUnder(3, "bad")
		f.settleRequests()
		f.wantHeld("bad")
	}
}

// TestAdoptedCrashesAddUpByProcess lets entries hand over counts of different crashes, as one that was cut off from control does.
func TestAdoptedCrashesAddUpByProcess(t *testing.T) {
	var suspects []SuspectRequest
	for i := range 2 {
		earlier := newFixtureWith(t, DefaultConfig())
		earlier.crashUnder(i, "bad")
		suspects = append(suspects, earlier.r.SuspectRequests(earlier.now)...)
	}
	f := newFixtureWith(t, DefaultConfig())
	g := NewGuard(DefaultGuardConfig())
	for _, s := range suspects {
		f.r.AdoptRequests(f.now, nil, []SuspectRequest{s})
		g.ApplyRequests(f.now, []SuspectRequest{s}, nil, true)
	}
	for name, got := range map[string][]SuspectRequest{"leader": f.r.SuspectRequests(f.now), "entry": g.SuspectRequests(f.now)} {
		if len(got) != 1 || got[0].Crashes != 2 || len(got[0].Processes) != 2 {
			t.Errorf("%s: got suspects %v, want one with the crashes of 2 processes", name, got)
		}
	}
	f.crashUnder(2, "bad")
	f.settleRequests()
	f.wantHeld("bad")
}

// TestAttackerDisplacesNoCrashingRequest lets tens of thousands of other bodies ride along on crashed servers, and others crash
// one server each, between the crashes under one request.
func TestAttackerDisplacesNoCrashingRequest(t *testing.T) {
	f := newFixtureWith(t, DefaultConfig())
	f.crashesUnder(0, 2, "bad")
	n := 0
	for server := 10; server < 40; server++ {
		for range maxSuspectRequests / 10 {
			f.crashUnder(server, fmt.Sprint("rider ", n))
			n++
		}
		f.crashUnder(100+server, fmt.Sprint("once ", server))
		f.advance(100 * time.Millisecond)
	}
	if got := len(f.r.requests); got > maxSuspectRequests {
		t.Errorf("got %d requests, want %d at most", got, maxSuspectRequests)
	}
	if f.r.requestCrashes > maxRequestCrashes {
		t.Errorf("got %d crashes, want %d at most", f.r.requestCrashes, maxRequestCrashes)
	}
	if got := f.r.SuspectRequests(f.now); len(got) > maxRequestsInView || got[0].Digest != testDigest("bad") {
		t.Errorf("got %d suspects, the first %v, want %d at most and the crashing one first", len(got), got[0], maxRequestsInView)
	}
	f.advance(time.Second)
	f.crashUnder(2, "bad")
	f.settleRequests()
	f.wantHeld("bad")
}

// TestPopularRequestOnServersThatCrashTogether lets all servers of a small fleet crash within 0.8 s under a request that was answered.
func TestPopularRequestOnServersThatCrashTogether(t *testing.T) {
	f := newFixtureWith(t, DefaultConfig())
	f.crashUnder(0, "popular")
	f.advance(time.Second)
	f.answered(100*time.Millisecond, "popular", false)
	for server := 1; server <= 4; server++ {
		f.advance(250 * time.Millisecond)
		f.crashUnder(server, "popular")
	}
	f.settleRequests()
	f.advance(confirmTime)
	f.settleRequests()
	f.wantHeld()
	// One that goes on crashing servers is held.
	f.crashUnder(10, "popular")
	f.settleRequests()
	f.wantHeld("popular")
}

// TestRequestsOfACrashAreBounded lets thousands of requests run on a server that crashes, after one that has crashed two before.
func TestRequestsOfACrashAreBounded(t *testing.T) {
	f := newFixtureWith(t, DefaultConfig())
	f.crashesUnder(0, 2, "bad")
	for i := range 2 * maxDigestsPerCrash {
		f.r.RecordCrash(f.now, Evidence{Crash: testProcess(2), Digest: testDigest(fmt.Sprint("answered ", i)), Answered: true})
	}
	if got, want := len(f.r.crashOf[testProcess(2)].digests), maxDigestsPerCrash/2; got != want {
		t.Errorf("requests that were answered before the crash: got %d, want %d", got, want)
	}
	for i := range 2 * maxDigestsPerCrash {
		f.crashUnder(2, fmt.Sprint("rider ", i))
	}
	if got, want := len(f.r.crashOf[testProcess(2)].digests), maxDigestsPerCrash; got != want {
		t.Errorf("requests of the crash: got %d, want %d", got, want)
	}
	f.crashUnder(2, "bad")
	f.settleRequests()
	f.wantHeld("bad")
}

// TestRequestsThatCrashInTurnAreHeld lets six requests crash servers in turn, so fast that each is on less than its share of the crashes
// about the same time.
func TestRequestsThatCrashInTurnAreHeld(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e", "f"}
	for _, step := range []time.Duration{150 * time.Millisecond, 100 * time.Millisecond, 70 * time.Millisecond} {
		f := newFixtureWith(t, DefaultConfig())
		for i := range 60 {
			f.crashUnder(i, names[i%len(names)])
			f.r.Decide(f.now)
			f.advance(step)
		}
		f.settleRequests()
		f.wantHeld(names...)
	}
}
