package kwchainsearch

import (
	"slices"
	"testing"
)

func TestFaultyStages(t *testing.T) {
	cases := []struct {
		name    string
		results []ConnectResult
		want    []int
	}{
		{"slow forward pass", []ConnectResult{Connected, Connected, Connected}, nil},
		{"crashed stage", []ConnectResult{Connected, Refused, Connected}, []int{1}},
		{"unresponsive stage", []ConnectResult{Connected, Connected, Unresponsive}, []int{2}},
		{"one crashed and one unresponsive stage", []ConnectResult{Refused, Connected, Unresponsive}, []int{0, 2}},
		{"caller without network", []ConnectResult{Unresponsive, Unresponsive, Unresponsive}, nil},
		{"single unresponsive stage", []ConnectResult{Unresponsive}, nil},
		{"single crashed stage", []ConnectResult{Refused}, []int{0}},
	}
	for _, c := range cases {
		if got := FaultyStages(c.results); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
