package kwkeys

import (
	"os"
	"testing"
	"time"
)

func issueKeyPair(t *testing.T, folder string, validity time.Duration, now time.Time) {
	t.Helper()
	req := IssueRequest{Folder: folder, Node: "entry", Role: RoleEntry, Validity: validity}
	if err := Issue(req, now); err != nil {
		t.Fatal(err)
	}
}

// openStore opens a store whose certificate expired a minute ago.
func openStore(t *testing.T) (store *Store, folder string, now time.Time) {
	t.Helper()
	folder = t.TempDir()
	now = time.Now()
	if err := CreateAuthority(folder, now); err != nil {
		t.Fatal(err)
	}
	issueKeyPair(t, folder, -time.Minute, now)
	store, err := Open(FolderConfig(folder, "entry"))
	if err != nil {
		t.Fatal(err)
	}
	return store, folder, now
}

// TestRenewalWithSameModTime checks that a renewed key pair is used although its files keep their modification time, as
// they do when both writes fall within one tick of the file system's clock.
func TestRenewalWithSameModTime(t *testing.T) {
	store, folder, now := openStore(t)
	cfg := FolderConfig(folder, "entry")
	info, err := os.Stat(cfg.Certificate)
	if err != nil {
		t.Fatal(err)
	}
	old := store.Self()
	issueKeyPair(t, folder, time.Hour, now)
	for _, path := range []string{cfg.Certificate, cfg.Key} {
		if err := os.Chtimes(path, info.ModTime(), info.ModTime()); err != nil {
			t.Fatal(err)
		}
	}
	if got := store.Self(); !got.Expires.After(old.Expires) {
		t.Errorf("got a certificate that expires at %v, want one that expires after %v", got.Expires, old.Expires)
	}
}

// TestMismatchedFiles checks that the old pair stays in use while a new certificate lies next to the old key, and that
// the new pair is used once both files match.
func TestMismatchedFiles(t *testing.T) {
	store, folder, now := openStore(t)
	cfg := FolderConfig(folder, "entry")
	old := store.Self()
	oldKey, err := os.ReadFile(cfg.Key)
	if err != nil {
		t.Fatal(err)
	}
	issueKeyPair(t, folder, time.Hour, now)
	newKey, err := os.ReadFile(cfg.Key)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(cfg.Key, oldKey, 0o600); err != nil {
		t.Fatal(err)
	}
	if got := store.Self(); got != old {
		t.Errorf("got %+v, want the old pair %+v while the files do not match", got, old)
	}
	if err := os.WriteFile(cfg.Key, newKey, 0o600); err != nil {
		t.Fatal(err)
	}
	if got := store.Self(); !got.Expires.After(old.Expires) {
		t.Errorf("got a certificate that expires at %v, want the renewed one", got.Expires)
	}
}
