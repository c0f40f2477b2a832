package kwdemo

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/io/kwcontrol"
	"knapweedproxy/io/kwfake"
)

// declare puts a base file into force everywhere, with an overlay for the site.
func (f *Fleet) declare(t *testing.T, edited kwid.Revision, base, overlay string) {
	t.Helper()
	body := kwcontrol.ConfigBody{
		Revision: edited, ChangeID: "change-" + time.Now().String(), WaitMS: (20 * time.Second).Milliseconds(),
		Base: kwcontrol.FileBody{Name: "base.toml", Text: base}, Overlays: []kwcontrol.FileBody{{Name: "site.toml", Text: overlay}},
	}
	var got kwcontrol.ApplyReply
	if err := f.CallAdmin("/admin/config", body, &got); err != nil || !got.InForce {
		t.Fatalf("declaration on top of revision %d: got %+v %v, want it in force", edited, got, err)
	}
}

// TestCallsOutliveTheirService has calls in progress while their service leaves the declaration. They must be answered, a keyed one
// must run once, and a resend after the service is back must get the recorded answer.
func TestCallsOutliveTheirService(t *testing.T) {
	f := startFleet(t, nil)
	for _, s := range f.RecordsServers {
		s.Fake.SetFaults(kwfake.Faults{StartDelayMS: 1500})
	}
	ctx := testContext(t)
	calls := []struct{ method, path, key, body string }{
		{http.MethodPost, "/alerts", "keyed", "keyed"},
		{http.MethodPost, "/alerts", "", "without a key"},
		{http.MethodPost, "/holds", "", "with a repeat window"},
		{http.MethodGet, "/alerts", "", ""},
	}
	answers := make([]chan Answer, len(calls))
	for i, c := range calls {
		answers[i] = make(chan Answer, 1)
		go func() {
			got, err := f.newClient(i%2).CallService(ctx, c.method, c.path, c.key, c.body)
			if err != nil {
				t.Errorf("%s %s: got error %v", c.method, c.path, err)
			}
			answers[i] <- got
		}()
	}
	time.Sleep(500 * time.Millisecond)
	before, _, _ := strings.Cut(f.cfg.Base, "[[services]]")
	_, after, _ := strings.Cut(f.cfg.Base, "[[workspaces]]")
	f.declare(t, 1, before+"[[workspaces]]"+after, OverlayTOML(SiteName, f.cfg.Stages, 0))
	if got, err := f.newClient(0).CallService(ctx, http.MethodPost, "/alerts", "later", "later"); err != nil || got.Status != http.StatusNotFound {
		t.Errorf("call of a service that is not declared: got %d %v, want 404", got.Status, err)
	}
	var first string
	for i, c := range calls {
		got := <-answers[i]
		if got.Status != http.StatusOK {
			t.Errorf("%s %s with key %q: got %d %s, want 200", c.method, c.path, c.key, got.Status, got.Body)
		}
		if c.key == "keyed" {
			first = string(got.Body)
		}
	}
	f.declare(t, 2, f.cfg.Base, f.cfg.Overlay)
	got, err := f.newClient(1).CallService(ctx, http.MethodPost, "/alerts", "keyed", "keyed")
	if err != nil || string(got.Body) != first {
		t.Errorf("resend after the service is back: got %d %s %v, want %s", got.Status, got.Body, err, first)
	}
	for body, want := range map[string]int{"keyed": 1, "without a key": 1, "later": 0} {
		if runs := f.WriteRuns("/alerts", body); runs != want {
			t.Errorf("call %q: got %d runs, want %d", body, runs, want)
		}
	}
}
