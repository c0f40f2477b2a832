package kwcapacity

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"knapweedproxy/core/kwsiteconfig"
)

func inputs(t *testing.T) Inputs {
	t.Helper()
	text, err := os.ReadFile("../../docs/capacity.toml")
	if err != nil {
		t.Fatal(err)
	}
	var in Inputs
	if err := kwsiteconfig.Decode(kwsiteconfig.File{Name: "capacity.toml", Text: string(text)}, &in); err != nil {
		t.Fatal(err)
	}
	return in
}

// TestPageHoldsModel requires that docs/CAPACITY.md holds the table that its inputs give.
func TestPageHoldsModel(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	var want bytes.Buffer
	WriteTable(&want, inputs(t).Compute())
	if !strings.Contains(string(page), want.String()) {
		t.Errorf("got another table in docs/CAPACITY.md, want\n%s", want.String())
	}
}

// TestSlopesChangeVerdicts requires that a slope over its bound turns its line to "not met".
func TestSlopesChangeVerdicts(t *testing.T) {
	in := inputs(t)
	in.UnitCosts.AgentBytesPerSecond = 4000
	for _, r := range in.Compute() {
		if r.Role == "agent" && r.Metric == "control traffic" && r.Verdict != NotMet {
			t.Errorf("got %q for %g of %g, want %q", r.Verdict, r.Value, r.Bound, NotMet)
		}
	}
}
