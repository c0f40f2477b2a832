package kwraft_test

import (
	"math"
	"testing"

	"github.com/anishathalye/porcupine"

	"knapweedproxy/core/kwid"
	"knapweedproxy/core/kwstatemachine"
)

// configInput is an operation on the configuration: a read under a lease, or a change based on a revision.
type configInput struct {
	read         bool
	baseRevision kwid.Revision
}

// configOutput is the reply to the client; known is false if the reply was lost.
type configOutput struct {
	revision kwid.Revision
	accepted bool
	known    bool
}

// configModel is the configuration as one register whose revision increases by compare-and-set.
var configModel = porcupine.Model{
	Init: func() any { return kwid.Revision(0) },
	Step: func(state, input, output any) (bool, any) {
		revision, in, out := state.(kwid.Revision), input.(configInput), output.(configOutput)
		if in.read {
			return out.revision == revision, revision
		}
		accepted := in.baseRevision == revision
		next := revision
		if accepted {
			next++
		}
		if !out.known {
			return true, next
		}
		return out.accepted == accepted && out.revision == next, next
	},
}

// nextEvent returns the next number in the total order of calls and returns.
func (s *simulation) nextEvent() int64 {
	s.events++
	return s.events
}

func (s *simulation) recordRead(revision kwid.Revision) {
	s.history = append(s.history, porcupine.Operation{
		Input:  configInput{read: true},
		Call:   s.nextEvent(),
		Output: configOutput{revision: revision, known: true},
		Return: s.nextEvent(),
	})
}

// recordApply records a change of the configuration. A change whose reply was lost may take effect at any later time.
func (s *simulation) recordApply(c kwstatemachine.Command, calledAt int64, reply kwstatemachine.Reply, known bool) {
	if c.ApplyConfig == nil {
		return
	}
	op := porcupine.Operation{
		Input:  configInput{baseRevision: c.ApplyConfig.BaseRevision},
		Call:   calledAt,
		Output: configOutput{revision: reply.Revision, accepted: reply.Err == nil, known: known},
		Return: math.MaxInt64,
	}
	if known {
		op.Return = s.nextEvent()
	}
	s.history = append(s.history, op)
}

// TestSchedulesLinearizable checks that the history of the configuration in each schedule is linearizable with respect
// to one register.
func TestSchedulesLinearizable(t *testing.T) {
	const seeds = 300
	operations, lost := 0, 0
	for seed := uint64(1); seed <= seeds; seed++ {
		s := newSimulation(seed)
		if err := s.run(); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
		for _, r := range s.requests {
			if !r.done && r.command.ApplyConfig != nil {
				lost++
				s.recordApply(r.command, r.calledAt, kwstatemachine.Reply{}, false)
			}
		}
		operations += len(s.history)
		if !porcupine.CheckOperations(configModel, s.history) {
			t.Fatalf("seed %d: the history is not linearizable", seed)
		}
	}
	t.Logf("%d schedules, %d operations, %d with a lost reply", seeds, operations, lost)
	if operations == 0 || lost == 0 {
		t.Errorf("got %d operations and %d lost replies, want some of each", operations, lost)
	}
}
