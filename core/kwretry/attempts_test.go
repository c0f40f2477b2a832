package kwretry

import "testing"

func TestAttemptsMayAdd(t *testing.T) {
	cases := []struct {
		name string
		a    Attempts
		want bool
	}{
		{"first attempt of a request that may run once", Attempts{Limit: 1}, true},
		{"beside a silent attempt of a request that may run once", Attempts{Limit: 3, Extra: 1, Sent: 1, InProgress: 1}, false},
		{"after a refusal of a request that may run once", Attempts{Limit: 1, Extra: 1, Sent: 1}, true},
		{"beside a silent attempt", Attempts{Limit: 2, Extra: 1, Repeatable: true, Sent: 1, InProgress: 1}, true},
		{"beside the last permitted attempt", Attempts{Limit: 2, Extra: 1, Repeatable: true, Sent: 2, MayHaveRun: 1, InProgress: 1}, false},
		{"beside the only permitted attempt", Attempts{Limit: 1, Extra: 1, Repeatable: true, Sent: 1, InProgress: 1}, false},
		{"after a refusal, beside a silent attempt", Attempts{Limit: 2, Extra: 1, Repeatable: true, Sent: 2, InProgress: 1}, true},
		{"after too many refusals", Attempts{Limit: 2, Extra: 1, Repeatable: true, Sent: 3}, false},
	}
	for _, c := range cases {
		if got := c.a.MayAdd(); got != c.want {
			t.Errorf("%s: got %t, want %t", c.name, got, c.want)
		}
	}
}
