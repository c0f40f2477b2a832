package kwdirectcontrol

import (
	"context"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/go-logr/logr"

	"knapweedproxy/core/kwhlc"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwmembership"
	"knapweedproxy/core/kwquarantine"
	"knapweedproxy/io/kwdirectproto"
	"knapweedproxy/io/kwevent"
)

// requestsFixture records crashes as a leader does.
type requestsFixture struct {
	now    time.Time
	events *kwevent.Emitter
	parts  *promptParts
}

func newRequestsFixture() *requestsFixture {
	events := kwevent.New(kwevent.Config{Node: "c", Clock: kwhlc.New(kwhlc.Config{}), Log: logr.Discard(), MaxRecords: 64})
	return &requestsFixture{now: time.Unix(1000, 0), events: events, parts: newPromptParts(events)}
}

// crash records the crash of a process under requests, as an entry reports it, and lets a second pass.
func (f *requestsFixture) crash(epoch uint64, endpoint string, requests ...kwdirectproto.CrashedRequest) {
	req := kwdirectproto.EndpointCrashed{Entry: "e", Endpoint: kwid.EndpointID(endpoint), StartedMillis: 1, Requests: requests}
	for _, ev := range crashEvidence(req) {
		f.parts.at(epoch).RecordCrash(f.now, ev)
	}
	f.now = f.now.Add(time.Second)
}

// view returns the view of an epoch after the decisions that are due.
func (f *requestsFixture) view(epoch uint64) kwdirectproto.View {
	v := kwdirectproto.View{Epoch: epoch}
	f.parts.addTo(&v, f.now)
	return v
}

func (f *requestsFixture) countEvents(name string) int {
	n := 0
	for _, r := range f.events.Records() {
		if r.Name == name {
			n++
		}
	}
	return n
}

// TestRequestThatCrashesServersIsHeld checks that reports of several entries make a request held, and no other request or part.
func TestRequestThatCrashesServersIsHeld(t *testing.T) {
	f := newRequestsFixture()
	bad := kwdirectproto.CrashedRequest{Digest: kwid.RequestDigest{1}, Parts: []kwid.PromptPartID{"first", "rare"}}
	for i := range 3 {
		if v := f.view(1); len(v.HeldRequests) != 0 {
			t.Fatalf("after %d crashes: got held requests %v, want none", i, v.HeldRequests)
		}
		bad.Request = kwid.RequestID(fmt.Sprint("q", i))
		beside := kwdirectproto.CrashedRequest{Request: "s", Digest: kwid.RequestDigest{byte(10 + i)}, Parts: []kwid.PromptPartID{"first"}}
		f.crash(1, fmt.Sprint("m", i), bad, beside)
	}
	v := f.view(1)
	if len(v.HeldRequests) != 1 || v.HeldRequests[0].Digest != bad.Digest || len(v.QuarantinedParts) != 0 {
		t.Errorf("got held requests %v and parts %v, want the request that was on all crashes and no part", v.HeldRequests, v.QuarantinedParts)
	}
	if n := f.countEvents("requests-held"); n != 1 {
		t.Errorf("got %d events requests-held, want 1", n)
	}
}

// TestReportsOfOlderEntries checks that a report without digests counts against the parts in it, as before.
func TestReportsOfOlderEntries(t *testing.T) {
	req := kwdirectproto.EndpointCrashed{Endpoint: "m", StartedMillis: 2, Request: "q", Parts: []kwid.PromptPartID{"p"}}
	got := crashEvidence(req)
	want := kwmembership.Process{Endpoint: "m", StartedMillis: 2}
	if len(got) != 1 || got[0].Crash != want || got[0].Request != "q" || len(got[0].Parts) != 1 || !got[0].Digest.IsZero() {
		t.Errorf("got %+v, want the one request of the report", got)
	}
	req.Requests = make([]kwdirectproto.CrashedRequest, 2*maxEvidencePerReport)
	if got := crashEvidence(req); len(got) != maxEvidencePerReport {
		t.Errorf("got %d requests of a report, want at most %d", len(got), maxEvidencePerReport)
	}
}

// TestHeldRequestsSurviveAChangeOfLeader guards against a request that reaches servers again after an election. One that the present
// leader has released must not come back from entries that still hold it.
func TestHeldRequestsSurviveAChangeOfLeader(t *testing.T) {
	f := newRequestsFixture()
	digest := kwid.RequestDigest{1}
	held := []kwquarantine.HeldRequest{{Digest: digest, Remaining: time.Minute, Term: time.Minute}}
	suspects := []kwquarantine.SuspectRequest{{Digest: kwid.RequestDigest{2}, Crashes: 2}}
	f.parts.recordWatch(f.now, 2, kwdirectproto.Watch{Epoch: 1, HeldRequests: held, SuspectRequests: suspects})
	v := f.view(2)
	if len(v.HeldRequests) != 1 || v.HeldRequests[0].Digest != digest {
		t.Fatalf("leader of epoch 2 after a watch of epoch 1: got %v, want the held request", v.HeldRequests)
	}
	f.crash(2, "m", kwdirectproto.CrashedRequest{Request: "q", Digest: kwid.RequestDigest{2}})
	if v = f.view(2); len(v.HeldRequests) != 2 {
		t.Errorf("after the third crash of a suspect: got %v, want two held requests", v.HeldRequests)
	}
	f.now = f.now.Add(2 * time.Minute)
	if first, second := f.parts.at(2).StartRequestTrial(f.now, digest), f.parts.at(2).StartRequestTrial(f.now, digest); !first || second {
		t.Fatalf("after the term: got trials %v and %v, want one in the whole fleet", first, second)
	}
	f.now = f.now.Add(3 * time.Second)
	f.parts.recordWatch(f.now, 2, kwdirectproto.Watch{
		Epoch: 2, HeldRequests: held, SoundRequests: []kwquarantine.SoundRequest{{Digest: digest, Age: 2 * time.Second}},
	})
	f.parts.recordWatch(f.now, 2, kwdirectproto.Watch{Epoch: 1, HeldRequests: held})
	for _, h := range f.view(2).HeldRequests {
		if h.Digest == digest {
			t.Errorf("after a sound trial: got the request held, for %v", h.Remaining)
		}
	}
	if n := f.countEvents("requests-released"); n != 1 {
		t.Errorf("got %d events requests-released, want 1", n)
	}
}

// TestLeaderDoesNotAdoptItsOwnCounts guards against a crash that counts once for each entry: entries forget the epoch of their view when
// the leader has gathered, but not the counts in it.
func TestLeaderDoesNotAdoptItsOwnCounts(t *testing.T) {
	f := newRequestsFixture()
	digest := kwid.RequestDigest{1}
	f.crash(1, "m", kwdirectproto.CrashedRequest{Request: "q", Digest: digest, Parts: []kwid.PromptPartID{"p"}})
	for range 4 {
		v := f.view(1)
		f.parts.recordWatch(f.now, 1, kwdirectproto.Watch{HeldRequests: v.HeldRequests, SuspectRequests: v.SuspectRequests})
		f.now = f.now.Add(time.Second)
	}
	process := kwmembership.Process{Endpoint: "m", StartedMillis: 1}
	want := []kwquarantine.SuspectRequest{{Digest: digest, Crashes: 1, Processes: []kwmembership.Process{process}}}
	if v := f.view(1); len(v.HeldRequests) != 0 || !reflect.DeepEqual(v.SuspectRequests, want) {
		t.Errorf("one crash and four entries: got %v held and suspects %v, want none held and suspects %v", v.HeldRequests, v.SuspectRequests, want)
	}
	held := []kwquarantine.Quarantine{{Part: "p", Remaining: time.Minute}}
	f.parts.recordWatch(f.now, 1, kwdirectproto.Watch{QuarantinedParts: held})
	if got := f.view(1).QuarantinedParts; len(got) != 0 {
		t.Errorf("after a watch without an epoch: got quarantined parts %v, want none", got)
	}
}

// TestDecisionWakesWatches guards against a hold that entries learn of only with their next watch: each crash until then costs a server.
func TestDecisionWakesWatches(t *testing.T) {
	f := newRequestsFixture()
	bad := kwdirectproto.CrashedRequest{Request: "q", Digest: kwid.RequestDigest{1}}
	f.crash(1, "a", bad)
	f.crash(1, "b", bad)
	f.parts.decide(f.now, 1)
	decided := f.parts.decided.next()
	f.parts.decide(f.now, 1)
	select {
	case <-decided:
		t.Error("two crashes: the watches were woken without a decision")
	default:
	}
	f.crash(1, "c", bad)
	f.parts.decide(f.now, 1)
	select {
	case <-decided:
	default:
		t.Error("three crashes: the watches were not woken by the decision")
	}
}

// TestNextDecisionAfterALapse guards against a leader that takes no decision in time any more after its lease had lapsed when one was due.
func TestNextDecisionAfterALapse(t *testing.T) {
	f := newRequestsFixture()
	f.now = time.Now()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	// Without a replicated log the process does not lead when a decision is due.
	s := &Server{ctx: ctx, promptParts: f.parts}
	s.discovery = newDiscovery(s)
	for i := range 6 {
		digest := kwid.RequestDigest{byte(1 + i/3)}
		f.crash(1, fmt.Sprint("m", i), kwdirectproto.CrashedRequest{Request: "q", Digest: digest})
		f.now = f.now.Add(-time.Second + 250*time.Millisecond)
		if i%3 < 2 {
			continue
		}
		f.now = f.now.Add(-200 * time.Millisecond)
		s.decideInTime(f.now, 1)
		due, ok := f.parts.at(1).DecideAt()
		if !ok || !f.parts.nextDecision.Equal(due) {
			t.Errorf("after %d crashes: got the next decision at %v, want it at %v, %v", i+1, f.parts.nextDecision, due, ok)
		}
		f.now = f.now.Add(time.Second)
	}
}
