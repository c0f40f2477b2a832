package kwquarantine

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"knapweedproxy/core/kwid"
)

func digestsOf(names ...string) []kwid.RequestDigest {
	var digests []kwid.RequestDigest
	for _, name := range names {
		digests = append(digests, testDigest(name))
	}
	return digests
}

// crashInSight lets an entry see crashes of processes under a request, spread over time.
func crashInSight(g *Guard, now time.Time, from, n int, name string) time.Time {
	for i := range n {
		now = now.Add(DefaultConfig().RequestSpread)
		g.RecordCrashed(now, testProcess(from+i), digestsOf(name))
	}
	return now
}

func wantCheck(t *testing.T, g *Guard, now time.Time, name string, want bool) HeldRequest {
	t.Helper()
	h, got := g.CheckRequest(now, testDigest(name))
	if got != want {
		t.Errorf("check of %s at %v: got %t, want %t", name, now.Sub(testStart), got, want)
	}
	return h
}

func TestGuardAppliesHeldRequests(t *testing.T) {
	g := NewGuard(DefaultGuardConfig())
	held := []HeldRequest{{Digest: testDigest("bad"), Remaining: 10 * time.Second, Term: time.Minute}}
	g.ApplyRequests(testStart, []SuspectRequest{{Digest: testDigest("twice"), Crashes: 2}, {Digest: testDigest("once"), Crashes: 1}}, held, false)
	for name, want := range map[string]bool{"twice": true, "once": false, "other": false} {
		if got := g.SuspectedRequest(testDigest(name)); got != want {
			t.Errorf("%s suspected: got %t, want %t", name, got, want)
		}
	}
	now := testStart.Add(time.Second)
	if got, want := wantCheck(t, g, now, "bad", true), (HeldRequest{testDigest("bad"), 9 * time.Second, time.Minute}); got != want {
		t.Errorf("got %v, want %v", got, want)
	}
	wantCheck(t, g, now, "other", false)
	g.ApplyRequests(now, nil, nil, true)
	wantCheck(t, g, now, "bad", true)
	if got, want := len(g.SuspectRequests(now)), 2; got != want {
		t.Errorf("got %d suspects, want %d", got, want)
	}
	g.ApplyRequests(testStart.Add(10*time.Second), nil, held, true)
	g.ApplyRequests(testStart.Add(20*time.Second), nil, nil, true)
	if got := wantCheck(t, g, testStart.Add(20*time.Second), "bad", true); got.Remaining != 0 {
		t.Errorf("remaining at the end of the term: got %v, want 0", got.Remaining)
	}
	now = testStart.Add(20 * time.Second)
	g.ApplyRequests(now, nil, nil, false)
	wantCheck(t, g, now, "bad", false)
	if got := g.SuspectRequests(now); len(got) != 0 {
		t.Errorf("got suspects %v, want none", got)
	}
}

// TestAnswerIsSoundOnceItsServerOutlivesIt covers servers that crash after the whole answer.
func TestAnswerIsSoundOnceItsServerOutlivesIt(t *testing.T) {
	tests := []struct {
		name string
		// answered are the times of answers to "first", "second" and so on by one process, in milliseconds.
		answered []int
		crashAt  int
		// want are the requests answered shortly before the crash.
		want []string
	}{
		{"crash at once", []int{0}, 100, []string{"first"}},
		{"crash that is noticed late", []int{0}, 2500, []string{"first"}},
		{"answer long before", []int{0, 1500}, 1600, []string{"second"}},
		{"answers shortly before each other", []int{0, 700, 1500}, 1600, []string{"second", "third"}},
		{"nothing heard for long", []int{0}, 4000, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			g := NewGuard(DefaultGuardConfig())
			at := func(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }
			names := []string{"first", "second", "third"}[:len(tt.answered)]
			for i, ms := range tt.answered {
				g.RecordAnswered(at(ms), testProcess(1), testDigest(names[i]))
			}
			g.SoundRequests(at(tt.crashAt - 1))
			if got, want := g.RecordCrashed(at(tt.crashAt), testProcess(1), nil), digestsOf(tt.want...); !slices.Equal(got, want) {
				t.Errorf("answered before: got %v, want %v", got, want)
			}
			if got := g.RecordCrashed(at(tt.crashAt), testProcess(1), nil); len(got) != 0 {
				t.Errorf("answered before, at the second call: got %v, want none", got)
			}
			for _, name := range names {
				sound := g.SoundAge(at(tt.crashAt), testDigest(name)) > 0
				if want := !slices.Contains(tt.want, name); sound != want {
					t.Errorf("%s sound: got %t, want %t", name, sound, want)
				}
			}
		})
	}
}

// TestCrashUnmakesAnswersOfItsChain covers chains of which one process crashes after the answer.
func TestCrashUnmakesAnswersOfItsChain(t *testing.T) {
	g := NewGuard(DefaultGuardConfig())
	g.RecordAnswered(testStart, testProcess(1), testDigest("bad"))
	g.RecordAnswered(testStart.Add(time.Millisecond), testProcess(2), testDigest("bad"))
	g.RecordAnswered(testStart, testProcess(2), testDigest("other"))
	g.RecordCrashed(testStart.Add(300*time.Millisecond), testProcess(1), nil)
	now := testStart.Add(5 * time.Second)
	g.SoundRequests(now)
	if got := g.SoundAge(now, testDigest("bad")); got != 0 {
		t.Errorf("sound run of the crashing request: got one %v ago, want none", got)
	}
	if got := g.SoundAge(now, testDigest("other")); got == 0 {
		t.Error("sound run of the other request: got none, want one")
	}
}

func TestSoundRequestsReportsSuspects(t *testing.T) {
	g := NewGuard(DefaultGuardConfig())
	for _, name := range []string{"suspect", "held", "own", "other"} {
		g.RecordAnswered(testStart, testProcess(1), testDigest(name))
	}
	g.ApplyRequests(testStart, []SuspectRequest{{Digest: testDigest("suspect"), Crashes: 1}}, []HeldRequest{{Digest: testDigest("held")}}, false)
	g.RecordCrashed(testStart, testProcess(2), digestsOf("own"))
	for _, tt := range []struct {
		after       time.Duration
		unconfirmed bool
		want        int
	}{{500 * time.Millisecond, true, 3}, {quietSound, false, 3}, {2 * time.Minute, false, 0}} {
		got := g.SoundRequests(testStart.Add(tt.after))
		if len(got) != tt.want {
			t.Fatalf("after %v: got %v, want %d", tt.after, got, tt.want)
		}
		for _, s := range got {
			if s.Unconfirmed != tt.unconfirmed || s.Age != tt.after || s.Digest == testDigest("other") {
				t.Errorf("after %v: got %v, want unconfirmed %t and no other", tt.after, s, tt.unconfirmed)
			}
		}
	}
}

// TestCutOffEntryHoldsWhatItSaw covers entries without contact to control.
func TestCutOffEntryHoldsWhatItSaw(t *testing.T) {
	g := NewGuard(DefaultGuardConfig())
	g.ApplyRequests(testStart, nil, nil, false)
	now := crashInSight(g, testStart, 0, 3, "bad")
	wantCheck(t, g, now, "bad", false)
	if !g.SuspectedRequest(testDigest("bad")) {
		t.Error("suspected after three crashes: got false, want true")
	}
	now = testStart.Add(cutOffAfter + time.Millisecond)
	if got, want := wantCheck(t, g, now, "bad", true).Term, time.Minute; got != want {
		t.Errorf("term: got %v, want %v", got, want)
	}
	wantCheck(t, g, now, "other", false)
	if got := g.HeldRequests(now); len(got) != 1 {
		t.Errorf("held requests for a new leader: got %v, want 1", got)
	}

	// One trial when the term is over; a crash doubles it.
	now = now.Add(time.Minute)
	wantCheck(t, g, now, "bad", false)
	wantCheck(t, g, now, "bad", true)
	g.RecordCrashed(now, testProcess(10), digestsOf("bad"))
	if got, want := wantCheck(t, g, now, "bad", true).Remaining, 2*time.Minute; got != want {
		t.Errorf("remaining after a failed trial: got %v, want %v", got, want)
	}
	now = now.Add(2 * time.Minute)
	wantCheck(t, g, now, "bad", false)
	g.RecordAnswered(now.Add(time.Second), testProcess(11), testDigest("bad"))
	wantCheck(t, g, now.Add(time.Second+quietSound/2), "bad", true)
	now = now.Add(time.Second + quietSound)
	wantCheck(t, g, now, "bad", false)
	wantCheck(t, g, now, "bad", false)
}

// TestOwnHoldLastsForItsTermInTouch lets an entry come back to control, which knows nothing of what the entry saw.
func TestOwnHoldLastsForItsTermInTouch(t *testing.T) {
	g := NewGuard(DefaultGuardConfig())
	now := crashInSight(g, testStart, 0, 3, "bad").Add(time.Second)
	remaining := wantCheck(t, g, now, "bad", true).Remaining
	g.ApplyRequests(now, nil, nil, false)
	wantCheck(t, g, now, "bad", true)
	now = now.Add(remaining)
	g.ApplyRequests(now, nil, nil, false)
	wantCheck(t, g, now, "bad", false)
	wantCheck(t, g, now, "bad", false)
}

// TestCutOffEntryTriesHeldRequests lets the term of the leader's hold end while the entry has no leader to ask.
func TestCutOffEntryTriesHeldRequests(t *testing.T) {
	g := NewGuard(DefaultGuardConfig())
	g.ApplyRequests(testStart, nil, []HeldRequest{{Digest: testDigest("bad"), Remaining: 10 * time.Second, Term: 4 * time.Minute}}, false)
	now := testStart.Add(10 * time.Second)
	wantCheck(t, g, now, "bad", false)
	wantCheck(t, g, now, "bad", true)
	g.RecordCrashed(now, testProcess(1), digestsOf("bad"))
	if got, want := wantCheck(t, g, now, "bad", true).Remaining, 8*time.Minute; got != want {
		t.Errorf("remaining after a failed trial: got %v, want %v", got, want)
	}
	if got := g.HeldRequests(now); len(got) != 1 {
		t.Errorf("held requests for a new leader: got %v, want 1", got)
	}
}

// TestHeldRequestExplainsCrashesInSight checks that a cut-off entry serves what ran next to a request that the leader held.
func TestHeldRequestExplainsCrashesInSight(t *testing.T) {
	g := NewGuard(DefaultGuardConfig())
	g.ApplyRequests(testStart, nil, []HeldRequest{{Digest: testDigest("bad"), Remaining: time.Minute}}, false)
	now := testStart
	for i := range 4 {
		now = now.Add(time.Second)
		g.RecordCrashed(now, testProcess(i), digestsOf("innocent"))
		g.RecordCrashed(now, testProcess(i), digestsOf("bad"))
	}
	wantCheck(t, g, now.Add(time.Second), "innocent", false)
	wantCheck(t, g, now.Add(time.Second), "bad", true)
}

func TestGuardMemoryIsBounded(t *testing.T) {
	g := NewGuard(DefaultGuardConfig())
	now := testStart
	for i := range 2 * maxAnswersPerProcess {
		g.RecordAnswered(now, testProcess(0), testDigest(fmt.Sprint(i)))
	}
	if got := g.RecordCrashed(now, testProcess(0), nil); len(got) != maxAnswersPerProcess || got[0] != testDigest(fmt.Sprint(maxAnswersPerProcess)) {
		t.Errorf("answered before: got %d, want the last %d", len(got), maxAnswersPerProcess)
	}
	for i := range maxSoundRequests + maxAnsweringProcesses {
		now = now.Add(2 * time.Millisecond)
		g.RecordAnswered(now, testProcess(i), testDigest(fmt.Sprint(i)))
	}
	q := &g.requests
	if got, want := len(q.logOf), maxAnsweringProcesses; got != want {
		t.Errorf("processes: got %d, want %d", got, want)
	}
	for i := range 2 * maxSoundRequests {
		now = now.Add(time.Millisecond)
		g.RecordAnswered(now, testProcess(0), testDigest(fmt.Sprint("sound ", i)))
	}
	g.SoundRequests(now.Add(time.Minute))
	if got := len(q.soundOf); got != maxSoundRequests || q.sounds.Len() != got {
		t.Errorf("sound requests: got %d and %d, want %d", got, q.sounds.Len(), maxSoundRequests)
	}
}

// TestSoundRequestsAreBounded lets an entry see crashes under thousands of requests that others answer, of which the leader knows none.
func TestSoundRequestsAreBounded(t *testing.T) {
	g := NewGuard(DefaultGuardConfig())
	g.ApplyRequests(testStart, []SuspectRequest{{Digest: testDigest("view"), Crashes: 1}}, nil, false)
	g.RecordAnswered(testStart, testProcess(99), testDigest("view"))
	now := testStart
	for server := range 10 {
		var digests []kwid.RequestDigest
		for i := range 100 {
			digests = append(digests, testDigest(fmt.Sprint(server, i)))
		}
		digests = append(digests, testDigest("often"))
		g.RecordCrashed(now, testProcess(server), digests)
		now = now.Add(time.Millisecond)
		for _, digest := range digests {
			g.RecordAnswered(now, testProcess(100+server), digest)
		}
	}
	sounds := g.SoundRequests(now)
	if got, want := len(sounds), maxOwnSounds+1; got != want {
		t.Errorf("got %d sound requests, want %d of the entry's own and that of the view", got, want)
	}
	for _, name := range []string{"often", "view"} {
		if !slices.ContainsFunc(sounds, func(s SoundRequest) bool { return s.Digest == testDigest(name) }) {
			t.Errorf("got no sound run of %s, want one", name)
		}
	}
	if !slices.IsSortedFunc(sounds, func(a, b SoundRequest) int { return compareDigests(a.Digest, b.Digest) }) {
		t.Error("got sound requests that are not sorted")
	}
}

// TestAbandonedRequestIsNeverSound covers requests that an entry gave up before their server crashed.
func TestAbandonedRequestIsNeverSound(t *testing.T) {
	g := NewGuard(DefaultGuardConfig())
	g.ApplyRequests(testStart, []SuspectRequest{{Digest: testDigest("old"), Crashes: 1}, {Digest: testDigest("late"), Crashes: 1}}, nil, false)
	at := func(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }
	g.RecordAbandoned(at(0), testProcess(1), testDigest("old"))
	g.RecordAnswered(at(1500), testProcess(1), testDigest("other"))
	g.RecordAbandoned(at(1600), testProcess(1), testDigest("late"))
	g.RecordAbandoned(at(1600), testProcess(2), testDigest("late"))
	// Another server answers it meanwhile.
	g.RecordAbandoned(at(1600), testProcess(1), testDigest("hedged"))
	g.RecordAnswered(at(1600), testProcess(3), testDigest("hedged"))
	if got := g.SoundRequests(at(1700)); len(got) != 0 {
		t.Errorf("got sound runs %v, want none, confirmed or not", got)
	}
	if got, want := g.RecordCrashed(at(1700), testProcess(1), nil), digestsOf("other", "late", "hedged"); !slices.Equal(got, want) {
		t.Errorf("on the server shortly before the crash: got %v, want %v", got, want)
	}
	g.RecordStopped(testProcess(2))
	if got := g.SoundRequests(at(20_000)); len(got) != 1 || got[0].Digest != testDigest("hedged") {
		t.Errorf("got sound runs %v, want that of the request which another server answered alone", got)
	}
	if g.SoundAge(at(20_000), testDigest("hedged")) == 0 {
		t.Error("sound run of the request that another server answered: got none, want one")
	}
}
