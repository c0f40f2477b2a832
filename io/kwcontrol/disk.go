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

// walRecord is one record of the log file: what one Ready had to persist.
type walRecord struct {
	HardState *kwraft.HardState `cbor:"1,keyasint,omitempty"`
	Entries   []kwraft.Entry    `cbor:"2,keyasint,omitempty"`
}

// disk keeps a member's log in a data folder.
type disk struct {
	wal *kwwal.Log
}

// openDisk reads the folder; fresh means that it held no log.
func openDisk(files kwwal.FileSystem) (d *disk, from kwraft.PersistentState, fresh bool, err error) {
	wal, recovered, err := kwwal.Open(kwwal.Config{Files: files})
	if err != nil {
		return nil, from, false, err
	}
	fresh = len(recovered.Snapshot) == 0 && len(recovered.Records) == 0
	from, err = replay(recovered)
	if err != nil {
		_ = wal.Close()
		return nil, from, false, err
	}
	return &disk{wal: wal}, from, fresh, nil
}

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
		if err := put(&out, record.Entries); err != nil {
			return out, err
		}
	}
	return out, nil
}

// put appends entries in log order; an entry at an index that is taken replaces it and all after it.
func put(out *kwraft.PersistentState, entries []kwraft.Entry) error {
	for _, e := range entries {
		at := int(e.Index) - int(out.Snapshot.Index) - 1
		if at < 0 {
			continue
		}
		if at > len(out.Entries) {
			return kwcode.New(kwcode.LogDamaged, "entry %d is missing", int(out.Snapshot.Index)+len(out.Entries)+1)
		}
		out.Entries = append(out.Entries[:at], e)
	}
	return nil
}

func (d *disk) save(rd kwraft.Ready) error {
	data, err := kwcbor.Marshal(walRecord{HardState: rd.HardState, Entries: rd.Entries})
	if err != nil {
		return kwcode.New(kwcode.DiskFailed, "encode a record: %v", err)
	}
	return d.wal.Append([][]byte{data})
}

// rewrite replaces all files by one snapshot of the member's whole disk content.
func (d *disk) rewrite(whole kwraft.PersistentState) error {
	data, err := kwcbor.Marshal(whole)
	if err != nil {
		return kwcode.New(kwcode.DiskFailed, "encode a snapshot: %v", err)
	}
	return d.wal.Snapshot(data)
}

func (d *disk) close() {
	_ = d.wal.Close()
}

const (
	diskIDName  = "disk-id"
	diskIDBytes = 4
	diskIDMode  = 0o600
)

// founderDisk is the disk id of the members that found a fleet together, which must know each other's ids beforehand.
const founderDisk = "founder"

// InitialMemberID returns the member id of a node whose first disk takes part in founding the fleet.
func InitialMemberID(node kwid.NodeID) kwid.NodeID { return join(node, founderDisk) }

// MemberID names a member by node and disk, so that a VM whose disk was replaced is another member; founder names the
// disk of a member that founds the fleet.
func MemberID(folder string, node kwid.NodeID, founder bool) (kwid.NodeID, error) {
	path := filepath.Join(folder, diskIDName)
	data, err := os.ReadFile(path)
	if id := strings.TrimSpace(string(data)); err == nil && id != "" {
		return join(node, id), nil
	}
	var raw [diskIDBytes]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return "", kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	id := hex.EncodeToString(raw[:])
	if founder {
		id = founderDisk
	}
	if err := writeSynced(path, id); err != nil {
		return "", kwcode.New(kwcode.DiskFailed, "%v", err)
	}
	return join(node, id), nil
}

func writeSynced(path, text string) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, diskIDMode)
	if err != nil {
		return err
	}
	_, err = file.WriteString(text + "\n")
	if err == nil {
		err = file.Sync()
	}
	if closed := file.Close(); err == nil {
		err = closed
	}
	return err
}

func join(node kwid.NodeID, disk string) kwid.NodeID {
	return node + "@" + kwid.NodeID(disk)
}

// NodeOf returns the node part of a member id.
func NodeOf(member kwid.NodeID) kwid.NodeID {
	name, _, _ := strings.Cut(string(member), "@")
	return kwid.NodeID(name)
}
