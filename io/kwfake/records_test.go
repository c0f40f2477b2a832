package kwfake

import (
	"errors"
	"net/http"
	"strings"
	"syscall"
	"testing"
)

// TestRecordsServerCrashesOnABody checks that only a call with the given body stops the server, and that it does not count as a write.
func TestRecordsServerCrashesOnABody(t *testing.T) {
	r, err := NewRecords(RecordsConfig{Listen: "127.0.0.1:0", Name: "r"})
	if err != nil {
		t.Fatal(err)
	}
	defer r.Close()
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	send := func(method, path, body string) error {
		req, err := http.NewRequestWithContext(t.Context(), method, r.URL()+path, strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		resp, err := client.Do(req)
		if err != nil {
			return err
		}
		return resp.Body.Close()
	}
	if err := send(http.MethodPut, "/stand-in/faults", `{"die-on-body": "deadly"}`); err != nil {
		t.Fatal(err)
	}
	for _, body := range []string{"sound", "deadly too"} {
		if err := send(http.MethodPost, "/x", body); err != nil {
			t.Errorf("call with body %q: got %v, want an answer", body, err)
		}
	}
	if err := send(http.MethodPost, "/x", "deadly"); err == nil {
		t.Error("call that crashes the server: got an answer, want none")
	}
	if err := send(http.MethodPost, "/x", "sound"); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("call after the crash: got %v, want a refused connection", err)
	}
	if got := r.cfg.RecordStore.Counts().Total; got != 2 {
		t.Errorf("got %d writes, want 2", got)
	}
}
