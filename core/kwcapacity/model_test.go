package kwcapacity

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"knapweedproxy/core/kwsiteconfig"
)

func readInputs(t *testing.T) Inputs {
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

// TestPageMatchesModel checks that docs/CAPACITY.md contains the table calculated from docs/capacity.toml.
func TestPageMatchesModel(t *testing.T) {
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	var want bytes.Buffer
	WriteTable(&want, readInputs(t).Compute())
	if !strings.Contains(string(page), want.String()) {
		t.Errorf("docs/CAPACITY.md does not contain the calculated table:\n%s", want.String())
	}
}

// TestUnitCostAboveBound checks that a unit cost above its bound gives the verdict NotMet.
func TestUnitCostAboveBound(t *testing.T) {
	in := readInputs(t)
	in.UnitCosts.AgentBytesPerSecond = 4000
	for _, r := range in.Compute() {
		if r.Role == "agent" && r.Metric == "control traffic" && r.Verdict != NotMet {
			t.Errorf("got verdict %q for %g with bound %g, want %q", r.Verdict, r.Value, r.Bound, NotMet)
		}
	}
}
