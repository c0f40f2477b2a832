package kwcontrol

import (
	"bytes"
	"context"
	"testing"
	"time"

	"knapweedproxy/core/kwhlc"
	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwraft"
	"knapweedproxy/io/kwagentproto"
	"knapweedproxy/io/kwkeys"
	"knapweedproxy/io/kwquic"
)

// TestNoZoneHoldsMajority checks that three or more voters are accepted only if no availability zone holds more than
// half of them. A voter without a zone counts as a zone of its own.
func TestNoZoneHoldsMajority(t *testing.T) {
	zones := map[kwid.NodeID]kwid.AvailabilityZone{"a1": "a", "a2": "a", "a3": "a", "b1": "b", "b2": "b", "c1": "c", "x": ""}
	tests := []struct {
		voters []kwid.NodeID
		want   bool
	}{
		{[]kwid.NodeID{"a1", "a2"}, true},
		{[]kwid.NodeID{"a1", "b1", "c1"}, true},
		{[]kwid.NodeID{"a1", "a2", "b1"}, false},
		{[]kwid.NodeID{"a1", "a2", "b1", "b2", "c1"}, true},
		{[]kwid.NodeID{"a1", "a2", "b1", "c1"}, true},
		{[]kwid.NodeID{"a1", "a2", "a3", "b1", "c1"}, false},
		{[]kwid.NodeID{"a1", "x", "x"}, true},
	}
	for _, tt := range tests {
		got := noZoneHoldsMajority(tt.voters, func(id kwid.NodeID) kwid.AvailabilityZone { return zones[id] })
		if got != tt.want {
			t.Errorf("%v: got %t, want %t", tt.voters, got, tt.want)
		}
	}
}

// TestLargeSnapshotIsChunked sends a snapshot of more than three chunks, which no single frame can carry, and requires
// that the receiver reassembles it unchanged.
func TestLargeSnapshotIsChunked(t *testing.T) {
	state := make([]byte, 3*raftChunkBytes+12345)
	for i := range state {
		state[i] = byte(i * 7)
	}
	received := make(chan kwraft.Message, 1)
	route := kwquic.Route{
		Kind:  kwagentproto.KindRaftChunk,
		Roles: []kwkeys.Role{kwkeys.RoleControl},
		Handle: func(_ context.Context, first kwquic.Frame, s *kwquic.Stream) error {
			var reassembler raftReassembler
			for f := first; ; {
				m, err := reassembler.add(f)
				if err != nil || m != nil {
					received <- *m
					return err
				}
				if f, err = s.Recv(); err != nil {
					return err
				}
			}
		},
	}
	keyFolder := t.TempDir()
	if err := kwkeys.CreateAuthority(keyFolder, time.Now()); err != nil {
		t.Fatal(err)
	}
	listen := func(node kwid.NodeID, routes ...kwquic.Route) *kwquic.Node {
		req := kwkeys.IssueRequest{Folder: keyFolder, Node: node, Role: kwkeys.RoleControl, Validity: time.Hour}
		if err := kwkeys.Issue(req, time.Now()); err != nil {
			t.Fatal(err)
		}
		store, err := kwkeys.Open(kwkeys.FolderConfig(keyFolder, node))
		if err != nil {
			t.Fatal(err)
		}
		n, err := kwquic.Listen(kwquic.Config{Listen: "127.0.0.1:0", Keys: store, Clock: kwhlc.New(kwhlc.Config{}), Routes: routes})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(n.Close)
		return n
	}
	receiver, sender := listen("to", route), listen("from")
	s, err := sender.Open(t.Context(), receiver.Address(), "to")
	if err != nil {
		t.Fatal(err)
	}
	if err := sendRaftMessage(s, kwraft.Message{Kind: kwraft.MsgSnapshot, From: "from@1", Snapshot: &kwraft.Snapshot{Index: 9, State: state}}); err != nil {
		t.Fatal(err)
	}
	m := <-received
	if m.Snapshot == nil || m.Snapshot.Index != 9 || !bytes.Equal(m.Snapshot.State, state) {
		t.Error("the received snapshot differs from the one that was sent")
	}
}
