package kwkeys

import (
	"os"
	"testing"
	"time"
)

func issue(t *testing.T, folder string, validity time.Duration, now time.Time) {
	t.Helper()
	req := IssueRequest{Folder: folder, Node: "entry", Role: RoleEntry, Validity: validity}
	if err := Issue(req, now); err != nil {
		t.Fatal(err)
	}
}

func openStore(t *testing.T) (store *Store, folder string, now time.Time) {
	t.Helper()
	folder = t.TempDir()
	now = time.Now()
	if err := CreateAuthority(folder, now); err != nil {
		t.Fatal(err)
	}
	issue(t, folder, -time.Minute, now)
	store, err := Open(FolderConfig(folder, "entry"))
	if err != nil {
		t.Fatal(err)
	}
	return store, folder, now
}

// TestRenewedWithinATick renews a key pair whose files keep their time of change, as two writes within one tick of the
// file system's clock do: the new pair is in use.
func TestRenewedWithinATick(t *testing.T) {
	store, folder, now := openStore(t)
	cfg := FolderConfig(folder, "entry")
	info, err := os.Stat(cfg.Certificate)
	if err != nil {
		t.Fatal(err)
	}
	old := store.Self()
	issue(t, folder, time.Hour, now)
	for _, path := range []string{cfg.Certificate, cfg.Key} {
		if err := os.Chtimes(path, info.ModTime(), info.ModTime()); err != nil {
			t.Fatal(err)
		}
	}
	if got := store.Self(); !got.Expires.After(old.Expires) {
		t.Errorf("got a certificate until %v, want one after %v", got.Expires, old.Expires)
	}
}

// TestHalfRenewed leaves a new certificate beside the old key: the old pair stays until both files belong together.
func TestHalfRenewed(t *testing.T) {
	store, folder, now := openStore(t)
	cfg := FolderConfig(folder, "entry")
	old := store.Self()
	oldKey, err := os.ReadFile(cfg.Key)
	if err != nil {
		t.Fatal(err)
	}
	issue(t, folder, time.Hour, now)
	newKey, err := os.ReadFile(cfg.Key)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(cfg.Key, oldKey, 0o600); err != nil {
		t.Fatal(err)
	}
	if got := store.Self(); got != old {
		t.Errorf("got %+v, want the old pair %+v beside a half renewed one", got, old)
	}
	if err := os.WriteFile(cfg.Key, newKey, 0o600); err != nil {
		t.Fatal(err)
	}
	if got := store.Self(); !got.Expires.After(old.Expires) {
		t.Errorf("got a certificate until %v, want the renewed one", got.Expires)
	}
}
