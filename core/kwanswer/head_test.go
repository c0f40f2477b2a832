package kwanswer

import "testing"

// TestBelongs guards against a page of a faulty server that counts as the success of a request.
func TestBelongs(t *testing.T) {
	cases := []struct {
		name string
		head Head
		used bool
		want Ownership
	}{
		{"success", Head{Status: 200, ID: "a", Signed: true}, false, Own},
		{"success, used connection", Head{Status: 204, ID: "a", Signed: true}, true, Own},
		{"page", Head{Status: 200}, false, Unproven},
		{"page, used connection", Head{Status: 200}, true, Foreign},
		{"signed page without ID", Head{Status: 200, Signed: true}, false, Unproven},
		{"success without signature", Head{Status: 201, ID: "a"}, false, Unproven},
		{"success without signature, used connection", Head{Status: 200, ID: "a"}, true, Unproven},
		{"success of another request", Head{Status: 200, ID: "b", Signed: true}, false, Foreign},
		{"encoded success", Head{Status: 200, ID: "a", Signed: true, Encoded: true}, false, Unproven},
		{"success that has not run", Head{Status: 200, ID: "a", Signed: true, NotRun: true}, false, Unproven},
		{"redirect of another program", Head{Status: 302}, false, Unproven},
		{"redirect", Head{Status: 302, ID: "a"}, false, Own},
		{"refusal", Head{Status: 503, ID: "a"}, true, Own},
		{"refusal without ID", Head{Status: 503}, false, Own},
		{"refusal without ID, used connection", Head{Status: 503}, true, Foreign},
		{"failure of another request", Head{Status: 500, ID: "b"}, false, Foreign},
	}
	for _, c := range cases {
		if got := c.head.Belongs("a", c.used); got != c.want {
			t.Errorf("%s: got %d, want %d", c.name, got, c.want)
		}
	}
}

// TestOutcome guards against a status that promises more than the endpoint has: a request that may run once has run, and its caller repeats it.
func TestOutcome(t *testing.T) {
	for _, status := range []int{408, 421, 429, 503} {
		for _, c := range []struct {
			head       Head
			repeatable bool
			want       Outcome
		}{
			{Head{Status: status, ID: "a"}, false, Misleading},
			{Head{Status: status, ID: "a", Signed: true}, false, Misleading},
			{Head{Status: status, ID: "a", NotRun: true}, false, Refused},
			{Head{Status: status, NotRun: true}, false, Refused},
			{Head{Status: status, ID: "a", NotRun: true}, true, Refused},
			{Head{Status: status}, true, Misleading},
		} {
			if got := c.head.Outcome(c.repeatable); got != c.want {
				t.Errorf("%+v, repeatable %v: got %d, want %d", c.head, c.repeatable, got, c.want)
			}
		}
	}
	for status, want := range map[int]Outcome{200: Answered, 204: Answered, 302: Answered, 404: Answered, 500: Failed, 502: Failed, 504: Failed} {
		for _, repeatable := range []bool{false, true} {
			if got := (Head{Status: status, ID: "a", Signed: true}).Outcome(repeatable); got != want {
				t.Errorf("status %d, repeatable %v: got %d, want %d", status, repeatable, got, want)
			}
		}
	}
	for status, want := range map[int]Outcome{408: Answered, 429: Answered, 503: Failed} {
		if got := (Head{Status: status, ID: "a"}).Outcome(true); got != want {
			t.Errorf("status %d, repeatable: got %d, want %d", status, got, want)
		}
	}
}
