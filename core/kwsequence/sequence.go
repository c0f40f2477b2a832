package kwsequence

import (
	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
)

// Step identifies a step: the tokens [Position, Position+Count) of one attempt, starting at Layer.
type Step struct {
	Attempt  kwid.Attempt
	Position kwid.Position
	Count    int
	Layer    kwid.Layer
}

// Decision says how to handle a step.
type Decision int

const (
	// Run means that the step is the next one and must be run.
	Run Decision = iota
	// Replay means that the step repeats the last one, which is answered with its stored result.
	Replay
	// Wait means that the step repeats the one that is still running.
	Wait
)

// Sequence tracks the progress of one request at one stage.
type Sequence struct {
	layers  kwid.LayerRange
	attempt kwid.Attempt
	next    kwid.Position
	last    Step
	running bool
	started bool
}

// New returns the progress of an attempt that has not run any step.
func New(layers kwid.LayerRange, attempt kwid.Attempt) *Sequence {
	return &Sequence{layers: layers, attempt: attempt}
}

// Admit decides how to handle a step. It returns OldAttempt or StepGap for a step that must not run.
func (s *Sequence) Admit(step Step) (Decision, error) {
	if step.Attempt != s.attempt {
		return Run, kwcode.New(kwcode.OldAttempt, "attempt %d is not the current attempt %d", step.Attempt, s.attempt)
	}
	if step.Layer != s.layers.From {
		return Run, kwcode.New(kwcode.StepGap, "the step starts at layer %d, this stage at layer %d", step.Layer, s.layers.From)
	}
	if step.Count < 1 {
		return Run, kwcode.New(kwcode.StepGap, "the step has no tokens")
	}
	if s.started && step == s.last {
		if s.running {
			return Wait, nil
		}
		return Replay, nil
	}
	if s.running || step.Position != s.next {
		return Run, kwcode.New(kwcode.StepGap, "the step is at position %d, the next position is %d", step.Position, s.next)
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

// NextPosition returns the first position that has not run yet.
func (s *Sequence) NextPosition() kwid.Position {
	return s.next
}

// Progress is the reply of a stage to a probe.
type Progress struct {
	Reachable    bool
	EngineAlive  bool
	NextPosition kwid.Position
	Running      bool
}

// FaultyStage returns the index of the stage that stalls a chain before a position, or -1 if every stage is still
// making progress. An unreachable stage or a dead engine takes precedence. Otherwise the first stage that has not
// completed the step decides: it is faulty unless it is still running the step. The stages after it only wait for its
// output.
func FaultyStage(stages []Progress, position kwid.Position) int {
	for i, p := range stages {
		if !p.Reachable || !p.EngineAlive {
			return i
		}
	}
	for i, p := range stages {
		if p.NextPosition >= position {
			continue
		}
		if p.Running {
			return -1
		}
		return i
	}
	return -1
}
