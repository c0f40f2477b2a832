package kwcontrol

import (
	"crypto/rand"
	"encoding/hex"
	"os"
	"path/filepath"
	"strings"

	"knapweedproxy/core/kwcbor"
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/io/kwwal"
)

// walRecord is one record of the log on disk: the hard state and entries that one Raft Ready had to persist.
type walRecord struct {
	HardState *kwraft.HardState `cbor:"1,keyasint,omitempty"`
	Entries   []kwraft.Entry    `cbor:"2,keyasint,omitempty"`
}

// disk stores a member's Raft state in a data folder.
type disk struct {
	wal *kwwal.Log
}

// openDisk opens the log and returns the state that it holds; empty reports that there was none.
func openDisk(files kwwal.FileSystem) (d *disk, state kwraft.PersistentState, empty bool, err error) {
	wal, recovered, err := kwwal.Open(kwwal.Config{Files: files})
	if err != nil {
		return nil, state, false, err
	}
	empty = len(recovered.Snapshot) == 0 && len(recovered.Records) == 0
	state, err = replay(recovered)
	if err != nil {
		_ = wal.Close()
		return nil, state, false, err
	}
	return &disk{wal: wal}, state, empty, nil
}

// replay rebuilds the state from the snapshot and the records after it.
func replay(r kwwal.Recovered) (kwraft.PersistentState, error) {
	var out kwraft.PersistentState
	if len(r.Snapshot) > 0 {
		if err := kwcbor.Unmarshal(r.Snapshot, &out); err != nil {
			return out, kwcode.New(kwcode.LogDamaged, "the snapshot cannot be decoded: %v", err)
		}
	}
	for i, data := range r.Records {
		var record walRecord
		if err := kwcbor.Unmarshal(data, &record); err != nil {
			return out, kwcode.New(kwcode.LogDamaged, "record %d cannot be decoded: %v", i, err)
		}
		if record.HardState != nil {
			out.HardState = *record.HardState
		}
		if err := appendEntries(&out, record.Entries); err != nil {
			return out, err
		}
	}
	return out, nil
}

// appendEntries appends entries to the log; an entry at an index already present replaces that entry and truncates all
// after it. Entries that the snapshot covers are skipped.
func appendEntries(out *kwraft.PersistentState, entries []kwraft.Entry) error {
	for _, e := range entries {
		pos := int(e.Index) - int(out.Snapshot.Index) - 1
		if pos < 0 {
			continue
		}
		if pos > len(out.Entries) {
			return kwcode.New(kwcode.LogDamaged, "entry %d is missing", int(out.Snapshot.Index)+len(out.Entries)+1)
		}
		out.Entries = append(out.Entries[:pos], e)
	}
	return nil
}

// save appends what rd has to persist and syncs it.
func (d *disk) save(rd kwraft.Ready) error {
	data, err := kwcbor.Marshal(walRecord{HardState: rd.HardState, Entries: rd.Entries})
	if err != nil {
		return kwcode.New(kwcode.DiskFailed, "encode a log record: %v", err)
	}
	return d.wal.Append([][]byte{data})
}

// rewrite replaces all files with one snapshot of the member's state.
func (d *disk) rewrite(state kwraft.PersistentState) error {
	data, err := kwcbor.Marshal(state)
	if err != nil {
		return kwcode.New(kwcode.DiskFailed, "encode a snapshot: %v", err)
	}
	return d.wal.Snapshot(data)
}

func (d *disk) close() {
	_ = d.wal.Close()
}

const (
	diskIDFile  = "disk-id"
	diskIDBytes = 4
	diskIDMode  = 0o600
)

// initialDiskID is the disk ID of the members that bootstrap a cluster together, which must know each other's member
// IDs beforehand.
const initialDiskID = "founder"

// InitialMemberID returns the member ID of a node that takes part in bootstrapping the cluster.
func InitialMemberID(node kwid.NodeID) kwid.NodeID { return joinMemberID(node, initialDiskID) }

// MemberID returns the member ID of a node: its node and the ID of its disk, which the data folder holds. A VM whose
// disk was replaced thus is a new member. If the folder holds no ID, MemberID writes one: the fixed ID of an initial
// member if initial is set, otherwise a random one.
func MemberID(folder string, node kwid.NodeID, initial bool) (kwid.NodeID, error) {
	path := filepath.Join(folder, diskIDFile)
	data, err := os.ReadFile(path)
	// Without its end of line, the ID was cut off by a full disk.
	if id, complete := strings.CutSuffix(string(data), "\n"); err == nil && complete && id != "" {
		return joinMemberID(node, id), nil
	}
	var raw [diskIDBytes]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return "", kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	id := hex.EncodeToString(raw[:])
	if initial {
		id = initialDiskID
	}
	// An ID that is not synced may be lost with the power, so that it gets its name only then.
	temp := path + ".tmp"
	if err := writeSynced(temp, id); err != nil {
		return "", kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	if err := os.Rename(temp, path); err != nil {
		return "", kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	files, err := kwwal.OpenFolder(folder)
	if err == nil {
		err = files.SyncFolder()
	}
	if err != nil {
		return "", kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	return joinMemberID(node, id), nil
}

// writeSynced writes a line to a file and syncs it.
func writeSynced(path, text string) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, diskIDMode)
	if err != nil {
		return err
	}
	_, err = file.WriteString(text + "\n")
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

func joinMemberID(node kwid.NodeID, disk string) kwid.NodeID {
	return node + "@" + kwid.NodeID(disk)
}

// NodeOf returns the node part of a member ID.
func NodeOf(member kwid.NodeID) kwid.NodeID {
	name, _, _ := strings.Cut(string(member), "@")
	return kwid.NodeID(name)
}
