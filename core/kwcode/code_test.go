package kwcode

import (
	"os"
	"regexp"
	"strconv"
	"testing"

	"github.com/rotisserie/eris"
)

var row = regexp.MustCompile(`(?m)^\| (\d+) \| ([a-z-]+) \|`)

// TestTableInDocs requires that each code stands in docs/result-codes.md and the other way round.
func TestTableInDocs(t *testing.T) {
	text, err := os.ReadFile("../../docs/result-codes.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := make(map[Code]string)
	for _, m := range row.FindAllStringSubmatch(string(text), -1) {
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
		t.Errorf("got code %d %q in docs only", code, name)
	}
}

func TestOfFindsWrappedCode(t *testing.T) {
	err := eris.Wrap(New(NoRule, "x"), "outer")
	if got := FromError(err).Code; got != NoRule {
		t.Errorf("got %d, want %d", got, NoRule)
	}
	if got := FromError(eris.New("plain")).Code; got != OperationFailed {
		t.Errorf("got %d, want %d", got, OperationFailed)
	}
	if FromError(nil) != nil {
		t.Error("got an error of nil, want nil")
	}
}
