package kwdemo

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwstatemachine"
	"knapweedproxy/io/kwfake"
)

const secondSite kwid.Site = "demo-b"

// writeRunsBySite returns how often each of the two sites ran a write with the given body.
func (f *Fleet) writeRunsBySite(body string) (first, second int) {
	count := func(store *kwfake.RecordStore) int {
		n := 0
		for _, w := range store.Counts().Writes {
			if w.Body == body {
				n += w.Count
			}
		}
		return n
	}
	return count(f.RecordStore), count(f.SecondRecordStore)
}

// TestMoveBetweenDataCentres moves a workspace to another site and back while writes arrive through both sites. It
// guards against a write that runs at both sites or at none, and against a resend that gets another outcome than the
// first send.
func TestMoveBetweenDataCentres(t *testing.T) {
	f := startFleet(t, func(cfg *Config) {
		cfg.SecondSite = secondSite
		cfg.SecondOverlay = OverlayTOML(secondSite, nil, cfg.RecordsServers)
		cfg.Controls = 3
	})
	for _, s := range f.RecordsServers {
		s.Fake.SetFaults(kwfake.Faults{StartDelayMS: 30})
	}
	move := func(to kwid.Site) {
		t.Helper()
		body := kwstatemachine.Move{Workspace: "road-crews", To: to}
		if err := f.CallAdmin("/admin/move", body, &kwstatemachine.Owner{}); err != nil {
			t.Fatal(err)
		}
	}
	move(SiteName)
	ctx := testContext(t)
	const writes = 150
	answers := make([]string, writes)
	var wg sync.WaitGroup
	for i := range writes {
		switch i {
		case 50:
			move(secondSite)
		case 100:
			move(SiteName)
		}
		wg.Go(func() {
			body := fmt.Sprintf("alert-%d", i)
			for entry := range 2 {
				got, err := f.newClient((i+entry)%2*2).CallService(ctx, http.MethodPost, "/alerts", body, body)
				if err != nil || got.Status != http.StatusOK {
					t.Errorf("got %d %s %v for %s, want %d", got.Status, got.Body, err, body, http.StatusOK)
				}
				if entry == 1 && string(got.Body) != answers[i] {
					t.Errorf("got %s to the resend of %s, want %s", got.Body, body, answers[i])
				}
				answers[i] = string(got.Body)
			}
		})
		time.Sleep(8 * time.Millisecond)
	}
	wg.Wait()
	moved := 0
	for i := range writes {
		body := fmt.Sprintf("alert-%d", i)
		first, second := f.writeRunsBySite(body)
		if first+second != 1 {
			t.Errorf("got %s run %d times at the first site and %d at the second, want once in total", body, first, second)
		}
		moved += second
	}
	if moved == 0 || moved == writes {
		t.Errorf("got %d of %d writes at the second site, want some but not all", moved, writes)
	}
	first, _ := f.writeRunsBySite("alert-149")
	if first != 1 {
		t.Error("got the last write at the second site, want it at the first")
	}
}
