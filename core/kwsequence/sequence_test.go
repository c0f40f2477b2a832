package kwsequence

import (
	"testing"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
)

func TestAdmit(t *testing.T) {
	layers := kwid.LayerRange{From: 4, To: 8}
	prompt := Step{Attempt: 2, Position: 0, Count: 5, Layer: 4}
	next := Step{Attempt: 2, Position: 5, Count: 1, Layer: 4}
	s := New(layers, 2)
	tests := []struct {
		name string
		step Step
		want Decision
		code kwcode.Code
	}{
		{"old attempt", Step{Attempt: 1, Count: 1, Layer: 4}, 0, kwcode.OldAttempt},
		{"wrong layer", Step{Attempt: 2, Count: 1, Layer: 0}, 0, kwcode.StepGap},
		{"no tokens", Step{Attempt: 2, Layer: 4}, 0, kwcode.StepGap},
		{"gap before the first step", next, 0, kwcode.StepGap},
		{"prompt", prompt, Run, 0},
		{"repeat while running", prompt, Wait, 0},
		{"next while running", next, 0, kwcode.StepGap},
	}
	check := func(name string, step Step, want Decision, code kwcode.Code) {
		t.Helper()
		got, err := s.Admit(step)
		if code != 0 {
			if !kwcode.Is(err, code) {
				t.Errorf("%s: got %v, want %d", name, err, code)
			}
			return
		}
		if err != nil || got != want {
			t.Errorf("%s: got %d %v, want %d", name, got, err, want)
		}
	}
	for _, tt := range tests {
		check(tt.name, tt.step, tt.want, tt.code)
	}
	s.Done()
	check("repeat after it has finished", prompt, Replay, 0)
	check("gap", Step{Attempt: 2, Position: 6, Count: 1, Layer: 4}, 0, kwcode.StepGap)
	check("next", next, Run, 0)
	s.Done()
	check("old step", prompt, 0, kwcode.StepGap)
	if got := s.NextPosition(); got != 6 {
		t.Errorf("got next %d, want 6", got)
	}
}

func TestFaultyStage(t *testing.T) {
	done := Progress{Reachable: true, EngineAlive: true, NextPosition: 9}
	busy := Progress{Reachable: true, EngineAlive: true, NextPosition: 8, Running: true}
	idle := Progress{Reachable: true, EngineAlive: true, NextPosition: 8}
	tests := []struct {
		name   string
		stages []Progress
		want   int
	}{
		{"all done", []Progress{done, done}, -1},
		{"first is slow, second waits for it", []Progress{busy, idle}, -1},
		{"first lost the step", []Progress{idle, idle}, 0},
		{"second lost the step", []Progress{done, idle}, 1},
		{"last is slow", []Progress{done, busy}, -1},
		{"unreachable behind a slow one", []Progress{busy, {}}, 1},
		{"engine hangs", []Progress{done, {Reachable: true, NextPosition: 8, Running: true}}, 1},
	}
	for _, tt := range tests {
		if got := FaultyStage(tt.stages, 9); got != tt.want {
			t.Errorf("%s: got %d, want %d", tt.name, got, tt.want)
		}
	}
}
