package kwraft_test

import (
	"math"
	"testing"

	"github.com/anishathalye/porcupine"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwstatemachine"
)

// configInput is one operation on the configuration: a read under a lease, or a change of an edited revision.
type configInput struct {
	read   bool
	edited kwid.Revision
}

// configOutput is what its caller was told; known is false if the answer was lost.
type configOutput struct {
	revision kwid.Revision
	accepted bool
	known    bool
}

// configModel is the configuration as one register whose revision rises by compare and set.
var configModel = porcupine.Model{
	Init: func() any { return kwid.Revision(0) },
	Step: func(state, input, output any) (bool, any) {
		revision, in, out := state.(kwid.Revision), input.(configInput), output.(configOutput)
		if in.read {
			return out.revision == revision, revision
		}
		wins := in.edited == revision
		next := revision
		if wins {
			next++
		}
		if !out.known {
			return true, next
		}
		return out.accepted == wins && out.revision == next, next
	},
}

// ticket orders calls and returns.
func (w *world) ticket() int64 {
	w.tickets++
	return w.tickets
}

func (w *world) recordRead(revision kwid.Revision) {
	w.history = append(w.history, porcupine.Operation{
		Input:  configInput{read: true},
		Call:   w.ticket(),
		Output: configOutput{revision: revision, known: true},
		Return: w.ticket(),
	})
}

// recordApply notes a change of the configuration; one whose answer was lost may take effect at any later time.
func (w *world) recordApply(c kwstatemachine.Command, called int64, reply kwstatemachine.Reply, known bool) {
	if c.ApplyConfig == nil {
		return
	}
	op := porcupine.Operation{
		Input:  configInput{edited: c.ApplyConfig.BaseRevision},
		Call:   called,
		Output: configOutput{revision: reply.Revision, accepted: reply.Err == nil, known: known},
		Return: math.MaxInt64,
	}
	if known {
		op.Return = w.ticket()
	}
	w.history = append(w.history, op)
}

// TestSchedulesLinearizable checks the configuration's history of schedules against one register.
func TestSchedulesLinearizable(t *testing.T) {
	const seeds = 300
	operations, lost := 0, 0
	for seed := uint64(1); seed <= seeds; seed++ {
		w := newWorld(seed)
		if err := w.run(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for _, r := range w.sent {
			if !r.done && r.command.ApplyConfig != nil {
				lost++
				w.recordApply(r.command, r.called, kwstatemachine.Reply{}, false)
			}
		}
		operations += len(w.history)
		if !porcupine.CheckOperations(configModel, w.history) {
			t.Fatalf("seed %d: got a history that is not linearizable", seed)
		}
	}
	t.Logf("%d schedules, %d operations, %d with a lost answer", seeds, operations, lost)
	if operations == 0 || lost == 0 {
		t.Errorf("got %d operations and %d lost answers, want some of each", operations, lost)
	}
}
