package kwwal

import (
	"bytes"
	"testing"
)

// TestSnapshotTooLargeToReadIsRefused guards against a snapshot that replaces the log and cannot be read at the next start.
func TestSnapshotTooLargeToReadIsRefused(t *testing.T) {
	files, err := OpenFolder(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	l, _, err := Open(Config{Files: files})
	if err != nil {
		t.Fatal(err)
	}
	record := []byte("kept")
	if err := l.Append([][]byte{record}); err != nil {
		t.Fatal(err)
	}
	if err := l.Snapshot(make([]byte, MaxRecordBytes+1)); err == nil {
		t.Error("got no error for a snapshot beyond the limit, want one")
	}
	if err := l.Append([][]byte{record}); err != nil {
		t.Errorf("after the refusal: got %v, want no error", err)
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	_, recovered, err := Open(Config{Files: files})
	if err != nil {
		t.Fatalf("at the next start: got %v, want no error", err)
	}
	if len(recovered.Records) != 2 || !bytes.Equal(recovered.Records[0], record) {
		t.Errorf("got %d records, want the 2 that were appended", len(recovered.Records))
	}
}
