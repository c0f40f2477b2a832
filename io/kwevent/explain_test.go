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

const heldLog = `{"level":"info","ts":1000000,"msg":"request-crashed","event":219,"node":"edge-a","request":"q1","endpoint":"e1","digest":"d1"}
{"level":"info","ts":1000100,"msg":"request-crashed","event":219,"node":"edge-b","request":"other","endpoint":"e1","digest":"d2"}
{"level":"info","ts":1001000,"msg":"request-crashed","event":219,"node":"edge-b","request":"q2","endpoint":"e2","digest":"d1"}
{"level":"info","ts":1002000,"msg":"requests-held","event":430,"node":"control-a","digest":"d1","term-ms":60000}
{"level":"info","ts":1003000,"msg":"request-held","event":225,"node":"edge-c","request":"q3","digest":"d1","sends":0}
{"level":"info","ts":1003001,"msg":"request-refused","event":202,"node":"edge-c","request":"q3","code":1023}
{"level":"info","ts":1004000,"msg":"request-crashed","event":219,"node":"edge-a","request":"q4","endpoint":"e1","digest":"d1"}
`

// TestExplainSaysWhyARequestIsHeld checks that a held request is shown with the crashes under its repeats before it, and with no others.
func TestExplainSaysWhyARequestIsHeld(t *testing.T) {
	lines, err := ReadLines(strings.NewReader(heldLog))
	if err != nil {
		t.Fatal(err)
	}
	var got []string
	for _, l := range Explain(lines, "q3") {
		got = append(got, l.Name+"/"+string(l.Request))
	}
	want := "request-crashed/q1 request-crashed/q2 requests-held/ request-held/q3 request-refused/q3"
	if strings.Join(got, " ") != want {
		t.Errorf("got %q, want %q", strings.Join(got, " "), want)
	}
}

const limitedLog = `{"level":"info","ts":1000000,"msg":"endpoint-limited","event":228,"node":"edge-a","request":"q1","endpoint":"e1","limited":true,"per-second":3}
{"level":"info","ts":1000100,"msg":"endpoint-limited","event":228,"node":"edge-a","endpoint":"e2","limited":true,"per-second":5}
{"level":"info","ts":1000200,"msg":"endpoint-limited","event":228,"node":"edge-b","endpoint":"e3","limited":true,"per-second":1}
{"level":"info","ts":1001000,"msg":"endpoint-limited","event":228,"node":"edge-a","request":"q2","endpoint":"e2","limited":false,"per-second":0}
{"level":"info","ts":1002000,"msg":"request-refused","event":202,"node":"edge-a","request":"q3","code":1024}
{"level":"info","ts":1003000,"msg":"endpoint-limited","event":228,"node":"edge-a","endpoint":"e1","limited":true,"per-second":9}
`

// TestExplainNamesTheLimits explains a request that was rejected since the endpoints were at their limits.
func TestExplainNamesTheLimits(t *testing.T) {
	lines, err := ReadLines(strings.NewReader(limitedLog))
	if err != nil {
		t.Fatal(err)
	}
	got := Explain(lines, "q3")
	if len(got) != 2 || got[0].Fields["endpoint"] != "e1" || got[0].Fields["per-second"] != 3.0 || got[1].Event != RequestRefused {
		t.Errorf("got %v, want the limit of e1 in force and the rejection", got)
	}
}

// TestExplainShowsBothAttempts guards against a hedged request of which only one endpoint is shown.
func TestExplainShowsBothAttempts(t *testing.T) {
	const log = `{"level":"info","ts":1000000,"msg":"request-hedged","event":230,"node":"edge-a","request":"q1","endpoint":"e2","beside":"e1"}
{"level":"info","ts":1000100,"msg":"request-answered","event":205,"node":"edge-a","request":"q1","endpoint":"e2","hedged":true,"won":"hedge"}
{"level":"info","ts":1000200,"msg":"endpoint-ejected","event":212,"node":"edge-a","endpoint":"e1"}
`
	lines, err := ReadLines(strings.NewReader(log))
	if err != nil {
		t.Fatal(err)
	}
	if got := len(Explain(lines, "q1")); got != len(lines) {
		t.Errorf("got %d lines, want all %d", got, len(lines))
	}
}
