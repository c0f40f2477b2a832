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
