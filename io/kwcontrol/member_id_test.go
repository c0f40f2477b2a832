package kwcontrol

import (
	"os"
	"path/filepath"
	"testing"
)

// TestTornMemberIDIsNotTaken guards against a member that takes half an ID, which a full disk left behind, for its own. It would be another
// member after the next start.
func TestTornMemberIDIsNotTaken(t *testing.T) {
	for _, torn := range []string{"", "a1b", "a1b2c3d4"} {
		folder := t.TempDir()
		path := filepath.Join(folder, diskIDFile)
		if err := os.WriteFile(path, []byte(torn), 0o600); err != nil {
			t.Fatal(err)
		}
		first, err := MemberID(folder, "vm-1", false)
		if err != nil {
			t.Fatal(err)
		}
		if taken := joinMemberID("vm-1", torn); first == taken {
			t.Errorf("file with %q and no end of line: got it as the ID, want a new one", torn)
		}
		second, err := MemberID(folder, "vm-1", false)
		if err != nil || second != first {
			t.Errorf("at the next start: got %s, %v, want %s", second, err, first)
		}
	}
}
