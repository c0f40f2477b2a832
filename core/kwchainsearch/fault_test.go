package kwchainsearch

import (
	"slices"
	"testing"
)

func TestFaults(t *testing.T) {
	cases := []struct {
		name  string
		reach []ConnectResult
		want  []int
	}{
		{"a slow pass", []ConnectResult{Connected, Connected, Connected}, nil},
		{"a stage has crashed", []ConnectResult{Connected, Refused, Connected}, []int{1}},
		{"a stage has gone dark", []ConnectResult{Connected, Connected, Unresponsive}, []int{2}},
		{"one crashed and one dark", []ConnectResult{Refused, Connected, Unresponsive}, []int{0, 2}},
		{"the asker is cut off", []ConnectResult{Unresponsive, Unresponsive, Unresponsive}, nil},
		{"a chain of one that is silent", []ConnectResult{Unresponsive}, nil},
		{"a chain of one that has crashed", []ConnectResult{Refused}, []int{0}},
	}
	for _, c := range cases {
		if got := FaultyStages(c.reach); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
