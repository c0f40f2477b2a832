package kwevent

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwid"
)

// LogLine is one JSON log line of a process.
type LogLine struct {
	// UnixMillis is the time in Unix milliseconds by the process's own wall clock.
	UnixMillis float64        `json:"ts"`
	Name       string         `json:"msg"`
	Event      ID             `json:"event"`
	Node       kwid.NodeID    `json:"node"`
	Request    kwid.RequestID `json:"request"`
	Fields     map[string]any `json:"-"`
}

// ReadLines reads the JSON lines of a log. It skips text before the first brace of a line, such as the prefixes of log
// collectors, and lines that are not events.
func ReadLines(r io.Reader) ([]LogLine, error) {
	var out []LogLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		start := bytes.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		var line LogLine
		if json.Unmarshal(text[start:], &line) != nil || line.Event == 0 {
			continue
		}
		if err := json.Unmarshal(text[start:], &line.Fields); err != nil {
			continue
		}
		out = append(out, line)
	}
	return out, scanner.Err()
}

// requestMargin is how long before and after a request Explain includes events about its endpoints. Lost heartbeats and
// ejections take seconds to show.
const requestMargin = 5 * time.Second

// crashMargin is how long before a held request Explain includes the crashes that are the reason.
const crashMargin = 5 * time.Minute

// Explain returns the log lines of a request in order of time, together with the lines about its endpoints that are
// within requestMargin of it, with the crashes under its repeats that are the reason if it was held, and with the limits of endpoints that its
// entry knew if it waited or was rejected for them.
func Explain(lines []LogLine, id kwid.RequestID) []LogLine {
	var own []LogLine
	endpoints := make(map[string]bool)
	for _, l := range lines {
		if l.Request != id {
			continue
		}
		own = append(own, l)
		for _, name := range []string{"endpoint", "blamed", "beside"} {
			if e, ok := l.Fields[name].(string); ok && e != "" {
				endpoints[e] = true
			}
		}
	}
	if len(own) == 0 {
		return nil
	}
	slices.SortStableFunc(own, byTime)
	from := own[0].UnixMillis - float64(requestMargin.Milliseconds())
	to := own[len(own)-1].UnixMillis + float64(requestMargin.Milliseconds())
	out := own
	for _, l := range lines {
		e, _ := l.Fields["endpoint"].(string)
		if l.Request == "" && endpoints[e] && l.UnixMillis >= from && l.UnixMillis <= to {
			out = append(out, l)
		}
	}
	out = append(out, reasonsToHold(lines, own)...)
	out = append(out, limitsInForce(lines, own)...)
	slices.SortStableFunc(out, byTime)
	return out
}

// reasonsToHold returns the crashes under the repeats of a held request, and the decision of the leader.
func reasonsToHold(lines, own []LogLine) []LogLine {
	i := slices.IndexFunc(own, func(l LogLine) bool { return l.Event == RequestHeld })
	if i < 0 {
		return nil
	}
	held := own[i]
	var out []LogLine
	for _, l := range lines {
		if l.Request == held.Request || l.Fields["digest"] == nil || l.Fields["digest"] != held.Fields["digest"] {
			continue
		}
		age := held.UnixMillis - l.UnixMillis
		if (l.Event == RequestCrashed || l.Event == RequestsHeld) && age >= 0 && age <= float64(crashMargin.Milliseconds()) {
			out = append(out, l)
		}
	}
	return out
}

// limitsInForce returns the last line on the limit of each endpoint at the entry of a request that waited for limits or was rejected for
// them, of those that had one.
func limitsInForce(lines, own []LogLine) []LogLine {
	i := slices.IndexFunc(own, func(l LogLine) bool {
		return l.Fields["limited"] == true && l.Event != EndpointLimited || l.Fields["code"] == float64(kwcode.EndpointLimit)
	})
	if i < 0 {
		return nil
	}
	last := make(map[any]LogLine)
	for _, l := range lines {
		endpoint := l.Fields["endpoint"]
		if l.Event != EndpointLimited || l.Node != own[i].Node || l.UnixMillis > own[i].UnixMillis {
			continue
		}
		if old, ok := last[endpoint]; !ok || old.UnixMillis <= l.UnixMillis {
			last[endpoint] = l
		}
	}
	var out []LogLine
	for _, l := range last {
		if l.Fields["limited"] == true && l.Request != own[i].Request {
			out = append(out, l)
		}
	}
	return out
}

func byTime(a, b LogLine) int { return cmp.Compare(a.UnixMillis, b.UnixMillis) }

// String formats a line with its fields sorted by name.
func (l LogLine) String() string {
	var b strings.Builder
	at := time.UnixMilli(int64(l.UnixMillis)).UTC().Format("15:04:05.000")
	_, _ = fmt.Fprintf(&b, "%s %-24s %s", at, l.Node, l.Name)
	var names []string
	for name := range l.Fields {
		if !slices.Contains([]string{"level", "ts", "msg", "event", "node", "request"}, name) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	for _, name := range names {
		_, _ = fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}
