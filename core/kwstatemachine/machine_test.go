package kwstatemachine

import (
	"fmt"
	"reflect"
	"testing"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwsiteconfig"
)

func source(comment string) kwsiteconfig.Source {
	base := "format = \"knapweedproxy-fleet-1\"\nname = \"f\"\n# " + comment + "\n"
	overlay := "format = \"knapweedproxy-fleet-1\"\nsite = \"s\"\n[[availability-zones]]\nname = \"z\"\n"
	return kwsiteconfig.Source{
		Base:     kwsiteconfig.File{Name: "base", Text: base},
		Overlays: []kwsiteconfig.File{{Name: "site", Text: overlay}},
	}
}

func apply(m *Machine, baseRevision kwid.Revision, id, digest string) Reply {
	return m.Apply(Command{ApplyConfig: &ApplyConfig{ChangeID: id, BaseRevision: baseRevision, Digest: digest, Source: source(id)}})
}

func claim(m *Machine, at int64, key, digest, request string, window int64) Reply {
	return m.Apply(Command{TimeMillis: at, Claim: &Claim{
		Scope:        Scope{Workspace: "w", Service: "s", Key: key},
		Digest:       digest,
		Grant:        Grant{Request: kwid.RequestID(request)},
		WindowMillis: window,
	}})
}

func outcome(m *Machine, at int64, key string, attempt kwid.Attempt, status int) Reply {
	return m.Apply(Command{TimeMillis: at, Outcome: &RecordOutcome{
		Scope:    Scope{Workspace: "w", Service: "s", Key: key},
		Attempt:  attempt,
		Response: Response{Status: status},
	}})
}

// TestConfigRaces changes the same revision twice: one change wins, the other gets a conflict, and retries get the
// first reply.
func TestConfigRaces(t *testing.T) {
	m := New(DefaultConfig())
	if got := apply(m, 0, "a", "1"); got.Err != nil || got.Revision != 1 {
		t.Fatalf("got %+v, want revision 1", got)
	}
	if got := apply(m, 0, "b", "2"); got.Err == nil || got.Err.Code != kwcode.RevisionConflict || got.Revision != 1 {
		t.Errorf("got %+v, want code %d at revision 1", got, kwcode.RevisionConflict)
	}
	if got := apply(m, 1, "c", "3"); got.Err != nil || got.Revision != 2 {
		t.Errorf("got %+v, want revision 2", got)
	}
	if got := apply(m, 0, "a", "1"); got.Err != nil || got.Revision != 1 {
		t.Errorf("got %+v, want the first reply", got)
	}
	if got := apply(m, 2, "a", "9"); got.Err == nil || got.Err.Code != kwcode.ChangeIDReused {
		t.Errorf("got %+v, want %d", got, kwcode.ChangeIDReused)
	}
	bad := m.Apply(Command{ApplyConfig: &ApplyConfig{ChangeID: "bad", BaseRevision: 2}})
	if bad.Err == nil || m.Revision() != 2 {
		t.Errorf("got %+v at revision %d, want an error and no new revision", bad, m.Revision())
	}
}

// TestClaimLifecycle takes a key through a grant, a fence, a second grant, an outcome and retries.
func TestClaimLifecycle(t *testing.T) {
	m := New(DefaultConfig())
	if got := claim(m, 1, "k", "d", "r1", 0); !got.Granted || got.Row.Grant.Attempt != 1 {
		t.Fatalf("got %+v, want attempt 1", got)
	}
	if got := claim(m, 2, "k", "d", "r1", 0); !got.Granted {
		t.Errorf("got %+v, want the same grant for a retried claim", got)
	}
	if got := claim(m, 2, "k", "d", "r2", 0); got.Granted || got.Row.State != RowGranted {
		t.Errorf("got %+v, want no second grant", got)
	}
	if got := claim(m, 2, "k", "other", "r2", 0); got.Err == nil || got.Err.Code != kwcode.KeyReused {
		t.Errorf("got %+v, want %d", got, kwcode.KeyReused)
	}
	scope := Scope{Workspace: "w", Service: "s", Key: "k"}
	m.Apply(Command{TimeMillis: 3, Fenced: &RecordFenced{Scope: scope, Attempt: 1}})
	if got := claim(m, 4, "k", "d", "r2", 0); !got.Granted || got.Row.Grant.Attempt != 2 {
		t.Errorf("got %+v, want attempt 2", got)
	}
	if got := outcome(m, 5, "k", 1, 200); got.Err == nil || got.Err.Code != kwcode.OldAttempt {
		t.Errorf("got %+v, want %d", got, kwcode.OldAttempt)
	}
	if got := outcome(m, 5, "k", 2, 201); got.Row.State != RowDone {
		t.Errorf("got %+v, want the row done", got)
	}
	if got := outcome(m, 6, "k", 2, 500); got.Row.Response.Status != 201 {
		t.Errorf("got %d, want the first outcome 201", got.Row.Response.Status)
	}
	if got := claim(m, 7, "k", "d", "r3", 0); got.Granted || got.Row.Response.Status != 201 {
		t.Errorf("got %+v, want the recorded outcome", got)
	}
}

// TestUnknownWaitsForOperator requires that a key with an unknown outcome is not granted again until it is settled.
func TestUnknownWaitsForOperator(t *testing.T) {
	m := New(DefaultConfig())
	claim(m, 1, "k", "d", "r1", 0)
	scope := Scope{Workspace: "w", Service: "s", Key: "k"}
	m.Apply(Command{TimeMillis: 2, Unknown: &RecordUnknown{Scope: scope, Attempt: 1, Reason: "x"}})
	if got := claim(m, 3, "k", "d", "r2", 0); got.Granted || got.Row.State != RowUnknown {
		t.Errorf("got %+v, want no grant", got)
	}
	m.Apply(Command{TimeMillis: 4, Settle: &Settle{Scope: scope, Verdict: VerdictNotRun, Operator: "o"}})
	if got := claim(m, 5, "k", "d", "r2", 0); !got.Granted || got.Row.Grant.Attempt != 2 {
		t.Errorf("got %+v, want attempt 2", got)
	}
	if got := m.Apply(Command{Settle: &Settle{Scope: scope, Verdict: VerdictRan}}); got.Err == nil {
		t.Error("got no error for settling an open row, want one")
	}
}

// TestRepeatWindow requires that a call with a derived key runs again only after its window has passed.
func TestRepeatWindow(t *testing.T) {
	m := New(DefaultConfig())
	claim(m, 0, "repeat-x", "d", "r1", 100)
	outcome(m, 10, "repeat-x", 1, 200)
	if got := claim(m, 50, "repeat-x", "d", "r2", 100); got.Granted {
		t.Errorf("got %+v, want the recorded outcome inside the window", got)
	}
	if got := claim(m, 200, "repeat-x", "d", "r3", 100); !got.Granted {
		t.Errorf("got %+v, want a new grant after the window", got)
	}
}

// TestJournalBounds requires that a full journal refuses new claims rather than dropping rows, and that only ended
// rows expire.
func TestJournalBounds(t *testing.T) {
	m := New(Config{MaxJournalRows: 3, RetentionMillis: 100, MaxChangeIDs: 10})
	for i := range 3 {
		claim(m, 0, fmt.Sprint(i), "d", "r", 0)
	}
	if got := claim(m, 1, "more", "d", "r", 0); got.Err == nil || got.Err.Code != kwcode.JournalFull {
		t.Errorf("got %+v, want %d", got, kwcode.JournalFull)
	}
	outcome(m, 10, "1", 1, 200)
	if got := claim(m, 200, "more", "d", "r", 0); !got.Granted {
		t.Errorf("got %+v, want a grant after the ended row expired", got)
	}
	if got := len(m.OpenRows()); got != 3 {
		t.Errorf("got %d open rows, want 3: open rows never expire", got)
	}
}

// restoreCopy returns a machine restored from a snapshot of m.
func restoreCopy(t *testing.T, m *Machine, cfg Config) *Machine {
	t.Helper()
	data, err := m.Snapshot()
	if err != nil {
		t.Fatal(err)
	}
	fresh := New(cfg)
	if err := fresh.Restore(data); err != nil {
		t.Fatal(err)
	}
	return fresh
}

// TestSnapshotIsExact requires that a restored machine has the same state and gives the same replies as the original.
func TestSnapshotIsExact(t *testing.T) {
	m := New(DefaultConfig())
	apply(m, 0, "a", "1")
	m.Apply(Command{AdvanceFencingToken: &AdvanceFencingToken{Node: "n"}})
	m.Apply(Command{Drain: &Drain{Endpoint: "e", On: true}})
	for i := range 20 {
		key := fmt.Sprint(i)
		claim(m, int64(i), key, "d", "r", 0)
		if i%2 == 0 {
			outcome(m, int64(100-i), key, 1, 200)
		}
	}
	got := restoreCopy(t, m, DefaultConfig())
	if !reflect.DeepEqual(got.JournalRows(), m.JournalRows()) || got.FencingToken() != m.FencingToken() || got.Revision() != m.Revision() || !got.Draining("e") {
		t.Error("the restored state differs from the original")
	}
	a, b := claim(m, 500, "3", "d", "r9", 0), claim(got, 500, "3", "d", "r9", 0)
	if !reflect.DeepEqual(a, b) {
		t.Errorf("got %+v, want %+v", b, a)
	}
	if err := got.Restore([]byte("garbage")); !kwcode.Is(err, kwcode.LogDamaged) {
		t.Errorf("got %v, want %d", err, kwcode.LogDamaged)
	}
}

func BenchmarkClaim(b *testing.B) {
	m := New(Config{MaxJournalRows: 1 << 20, RetentionMillis: 1000, MaxChangeIDs: 10})
	var at int64
	for b.Loop() {
		key := fmt.Sprint(at)
		claim(m, at, key, "d", "r", 0)
		outcome(m, at, key, 1, 200)
		at++
	}
}

// TestMoveWaitsForOpenAttempts requires that the new site gets no grant while an attempt is open at the old site.
func TestMoveWaitsForOpenAttempts(t *testing.T) {
	m := New(DefaultConfig())
	claimAt := func(key string, site kwid.Site) Reply {
		return m.Apply(Command{Claim: &Claim{
			Scope: Scope{Workspace: "w", Service: "s", Key: key},
			Grant: Grant{Request: kwid.RequestID(key), Site: site},
		}})
	}
	if got := claimAt("1", "old"); !got.Granted {
		t.Fatalf("got %+v, want a grant before any move", got)
	}
	if got := m.Apply(Command{Move: &Move{Workspace: "w", To: "new"}}); got.Owner.NextSite != "new" {
		t.Errorf("got %+v, want a move in progress", got.Owner)
	}
	for _, site := range []kwid.Site{"old", "new"} {
		if got := claimAt("2", site); got.Err == nil || got.Err.Code != kwcode.WorkspaceMoving {
			t.Errorf("%s: got %+v, want %d", site, got, kwcode.WorkspaceMoving)
		}
	}
	outcome(m, 1, "1", 1, 200)
	if got := claimAt("2", "old"); got.Err == nil || got.Err.Code != kwcode.WrongSite || got.Err.Endpoint != "new" {
		t.Errorf("got %+v, want code %d with the owner", got, kwcode.WrongSite)
	}
	if got := claimAt("2", "new"); !got.Granted {
		t.Errorf("got %+v, want a grant at the new site", got)
	}
	if got := claimAt("1", "old"); got.Err != nil || got.Row.State != RowDone {
		t.Errorf("got %+v, want the recorded outcome at either site", got)
	}
}

// TestUnknownCanBeCleared requires that a row with an unknown outcome ends once the agent reports that the attempt ran
// or was fenced.
func TestUnknownCanBeCleared(t *testing.T) {
	for _, fenced := range []bool{false, true} {
		m := New(DefaultConfig())
		claim(m, 1, "k", "d", "r1", 0)
		scope := Scope{Workspace: "w", Service: "s", Key: "k"}
		m.Apply(Command{TimeMillis: 2, Unknown: &RecordUnknown{Scope: scope, Attempt: 1, Reason: "cut off"}})
		if got := len(m.UnknownRows()); got != 1 {
			t.Fatalf("got %d rows with an unknown outcome, want 1", got)
		}
		want := RowDone
		if fenced {
			want = RowFenced
			m.Apply(Command{TimeMillis: 3, Fenced: &RecordFenced{Scope: scope, Attempt: 1}})
		} else {
			outcome(m, 3, "k", 1, 200)
		}
		if got, _ := m.JournalRow(scope); got.State != want {
			t.Errorf("got %s, want %s", got.State, want)
		}
	}
}

// BenchmarkSnapshot reports the size of a snapshot per journal row.
func BenchmarkSnapshot(b *testing.B) {
	for _, rows := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("rows-%d", rows), func(b *testing.B) {
			m := New(DefaultConfig())
			for i := range rows {
				key := fmt.Sprintf("caller-alert-%08d", i)
				m.Apply(Command{Claim: &Claim{
					Scope:  Scope{Workspace: "prefecture-35", Service: "records", Key: key},
					Digest: fmt.Sprintf("%064d", i),
					Call:   "POST /alerts",
					Grant: Grant{
						Request: kwid.RequestID(fmt.Sprintf("%036d", i)), Entry: "entry-1", Agent: "agent-records-1",
						Address: "10.0.0.1:7000", Endpoint: "records-1", Incarnation: 1796344789684697492, Site: "bretagne",
					},
				}})
				m.Apply(Command{Outcome: &RecordOutcome{
					Scope:    Scope{Workspace: "prefecture-35", Service: "records", Key: key},
					Attempt:  1,
					Response: Response{Status: 200, Headers: []Header{{Name: "Content-Type", Value: "application/json"}}, Body: make([]byte, 60)},
				}})
			}
			for b.Loop() {
				data, err := m.Snapshot()
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(data))/float64(rows), "B/row")
			}
		})
	}
}

// TestFullJournalIsRestored restores a snapshot of a full journal.
func TestFullJournalIsRestored(t *testing.T) {
	cfg := DefaultConfig()
	m := New(cfg)
	for i := range cfg.MaxJournalRows {
		claim(m, 1, fmt.Sprint(i), "d", "r", 0)
	}
	got := restoreCopy(t, m, cfg)
	if n := len(got.OpenRows()); n != cfg.MaxJournalRows {
		t.Errorf("got %d rows, want %d", n, cfg.MaxJournalRows)
	}
}

// BenchmarkOpen lists the few open rows of a large journal, as the control goroutine does at each tick.
func BenchmarkOpen(b *testing.B) {
	for _, rows := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("rows-%d", rows), func(b *testing.B) {
			m := New(DefaultConfig())
			for i := range rows {
				key := fmt.Sprint(i)
				claim(m, 1, key, "d", "r", 0)
				if i > 10 {
					outcome(m, 1, key, 1, 200)
				}
			}
			for b.Loop() {
				if got := len(m.OpenRows()); got != 11 {
					b.Fatalf("got %d open rows, want 11", got)
				}
			}
		})
	}
}
