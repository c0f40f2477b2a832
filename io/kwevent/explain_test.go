package kwevent

import (
	"strings"
	"testing"
)

const explainLog = `  3.2 edge-a {"level":"info","ts":1000200,"msg":"attempt-failed","event":204,"node":"edge-a","request":"q1","endpoint":"e1","error":"EOF"}
no JSON here
{"level":"info","ts":1000100,"msg":"endpoint-lost","event":403,"node":"control-a","endpoint":"e1"}
{"level":"info","ts":1000000,"msg":"endpoint-lost","event":403,"node":"control-a","endpoint":"e2"}
{"level":"info","ts":1000300,"msg":"request-answered","event":205,"node":"edge-a","request":"q1","status":200}
{"level":"info","ts":9000000,"msg":"endpoint-joined","event":401,"node":"control-a","endpoint":"e1"}
{"level":"info","ts":1000250,"msg":"request-answered","event":205,"node":"edge-a","request":"q2","status":200}
`

func TestExplain(t *testing.T) {
	lines, err := ReadLines(strings.NewReader(explainLog))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range Explain(lines, "q1") {
		got = append(got, l.Name)
	}
	if want := "endpoint-lost attempt-failed request-answered"; strings.Join(got, " ") != want {
		t.Errorf("got %q, want %q", strings.Join(got, " "), want)
	}
	if out := Explain(lines, "q9"); out != nil {
		t.Errorf("got %v for an unknown request, want none", out)
	}
	if text := lines[0].String(); !strings.Contains(text, "attempt-failed endpoint=e1 error=EOF") {
		t.Errorf("got %q, want the event name and the fields sorted by name", text)
	}
}
