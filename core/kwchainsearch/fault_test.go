package kwchainsearch

import (
	"slices"
	"testing"
)

func TestFaults(t *testing.T) {
	cases := []struct {
		name  string
		reach []Reach
		want  []int
	}{
		{"a slow pass", []Reach{Open, Open, Open}, nil},
		{"a stage has crashed", []Reach{Open, Refused, Open}, []int{1}},
		{"a stage has gone dark", []Reach{Open, Open, Silent}, []int{2}},
		{"one crashed and one dark", []Reach{Refused, Open, Silent}, []int{0, 2}},
		{"the asker is cut off", []Reach{Silent, Silent, Silent}, nil},
		{"a chain of one that is silent", []Reach{Silent}, nil},
		{"a chain of one that has crashed", []Reach{Refused}, []int{0}},
	}
	for _, c := range cases {
		if got := Faults(c.reach); !slices.Equal(got, c.want) {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
	}
}
