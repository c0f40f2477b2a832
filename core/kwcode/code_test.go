package kwcode

import (
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/rotisserie/eris"
)

var tableRow = regexp.MustCompile(`(?m)^\| (\d+) \| ([a-z-]+) \|`)

// TestTableInDocs checks that docs/result-codes.md lists exactly the defined codes, each under its name.
func TestTableInDocs(t *testing.T) {
	text, err := os.ReadFile("../../docs/result-codes.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := make(map[Code]string)
	for _, m := range tableRow.FindAllStringSubmatch(string(text), -1) {
		n, err := strconv.Atoi(m[1])
		if err != nil {
			t.Fatal(err)
		}
		listed[Code(n)] = m[2]
	}
	for _, info := range All() {
		if got := listed[info.Code]; got != info.Name {
			t.Errorf("code %d: got %q in docs, want %q", info.Code, got, info.Name)
		}
		delete(listed, info.Code)
	}
	for code, name := range listed {
		t.Errorf("code %d %q is in the docs only", code, name)
	}
}

func TestFromErrorUnwraps(t *testing.T) {
	err := eris.Wrap(New(NoRule, "x"), "outer")
	if got := FromError(err).Code; got != NoRule {
		t.Errorf("got %d, want %d", got, NoRule)
	}
	if got := FromError(eris.New("plain")).Code; got != OperationFailed {
		t.Errorf("got %d, want %d", got, OperationFailed)
	}
	if FromError(nil) != nil {
		t.Error("got an error for nil, want nil")
	}
}
