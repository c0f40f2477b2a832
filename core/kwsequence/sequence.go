package kwsequence

import (
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
)

// Step is the claim of a step frame: the tokens [Position, Position+Count) of one attempt.
type Step struct {
	Attempt  kwid.Attempt
	Position kwid.Position
	Count    int
	Layer    kwid.Layer
}

// Decision is the decision about a step.
type Decision int

const (
	// Run means that the step is the next one and must run.
	Run Decision = iota
	// Replay means that the step is the last one again and gets its stored result.
	Replay
	// Wait means that the step is the one that is running now.
	Wait
)

// Sequence is the progress of one request at one stage.
type Sequence struct {
	layers  kwid.LayerRange
	attempt kwid.Attempt
	next    kwid.Position
	last    Step
	running bool
	started bool
}

// New returns the progress of an attempt that has run nothing.
func New(layers kwid.LayerRange, attempt kwid.Attempt) *Sequence {
	return &Sequence{layers: layers, attempt: attempt}
}

// Admit decides about a step; it returns OldAttempt or StepGap for a step that must not run.
func (s *Sequence) Admit(step Step) (Decision, error) {
	if step.Attempt != s.attempt {
		return Run, kwcode.New(kwcode.OldAttempt, "attempt %d, present attempt %d", step.Attempt, s.attempt)
	}
	if step.Layer != s.layers.From {
		return Run, kwcode.New(kwcode.StepGap, "layer %d, this stage starts at layer %d", step.Layer, s.layers.From)
	}
	if step.Count < 1 {
		return Run, kwcode.New(kwcode.StepGap, "the step carries no tokens")
	}
	if s.started && step == s.last {
		if s.running {
			return Wait, nil
		}
		return Replay, nil
	}
	if s.running || step.Position != s.next {
		return Run, kwcode.New(kwcode.StepGap, "position %d, next position %d", step.Position, s.next)
	}
	s.started = true
	s.running = true
	s.last = step
	return Run, nil
}

// Done marks the running step as finished.
func (s *Sequence) Done() {
	s.running = false
	s.next = s.last.Position + kwid.Position(s.last.Count)
}

// NextPosition returns the first position that has not run.
func (s *Sequence) NextPosition() kwid.Position {
	return s.next
}

// Progress is what one stage of a chain reports when it is probed.
type Progress struct {
	Reachable    bool
	EngineAlive  bool
	NextPosition kwid.Position
	Running      bool
}

// FaultyStage returns the index of the stage that holds up a chain, or -1 if every stage still works. A stage that has
// not got its input yet is not at fault: the first stage that lacks the step decides.
func FaultyStage(stages []Progress, want kwid.Position) int {
	for i, p := range stages {
		if !p.Reachable || !p.EngineAlive {
			return i
		}
	}
	for i, p := range stages {
		if p.NextPosition >= want {
			continue
		}
		if p.Running {
			return -1
		}
		return i
	}
	return -1
}
