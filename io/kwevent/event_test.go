package kwevent

import (
	"bytes"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-logr/logr"

	"knapweedproxy/core/kwcode"
	"knapweedproxy/core/kwhlc"
)

var tableRow = regexp.MustCompile(`(?m)^\| (\d+) \| ([a-z-]+) \|`)

// TestTableInDocs checks that docs/log-events.md lists exactly the defined events, each under its name.
func TestTableInDocs(t *testing.T) {
	text, err := os.ReadFile("../../docs/log-events.md")
	if err != nil {
		t.Fatal(err)
	}
	listed := make(map[ID]string)
	for _, m := range tableRow.FindAllStringSubmatch(string(text), -1) {
		n, err := strconv.Atoi(m[1])
		if err != nil {
			t.Fatal(err)
		}
		listed[ID(n)] = m[2]
	}
	for _, info := range All() {
		if got := listed[info.ID]; got != info.Name {
			t.Errorf("event %d: got %q in docs, want %q", info.ID, got, info.Name)
		}
		delete(listed, info.ID)
	}
	for id, name := range listed {
		t.Errorf("event %d %q is in the docs only", id, name)
	}
}

// TestTimelineFollowsCausality checks that events of two processes merge in causal order although the processes' wall
// clocks differ by an hour.
func TestTimelineFollowsCausality(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ahead := kwhlc.New(kwhlc.Config{Now: func() time.Time { return time.Now().Add(time.Hour) }})
		behind := kwhlc.New(kwhlc.Config{})
		a := New(Config{Node: "a", Clock: ahead, Log: logr.Discard()})
		b := New(Config{Node: "b", Clock: behind, Log: logr.Discard()})
		a.Emit(CallSent, "r")
		behind.Observe(ahead.Next())
		b.Emit(CallStarted, "r")
		time.Sleep(time.Second)
		b.Emit(CallEnded, "r")
		var got []string
		for _, r := range MergeRecords(b.Records(), a.Records()) {
			got = append(got, r.Name)
		}
		want := "call-sent call-started call-ended"
		if strings.Join(got, " ") != want {
			t.Errorf("got %v, want %s", got, want)
		}
	})
}

func TestRingKeepsNewest(t *testing.T) {
	e := New(Config{Node: "a", Clock: kwhlc.New(kwhlc.Config{}), Log: logr.Discard(), MaxRecords: 3})
	for i := range 5 {
		e.Emit(CallSent, "", F("i", i))
	}
	got := e.Records()
	if len(got) != 3 || got[0].Fields[0].Value != 2 || got[2].Fields[0].Value != 4 {
		t.Errorf("got %+v, want events 2 to 4", got)
	}
}

func TestReadRecordsIgnoresIncompleteLastLine(t *testing.T) {
	var file bytes.Buffer
	e := New(Config{Node: "a", Clock: kwhlc.New(kwhlc.Config{}), Log: logr.Discard(), File: &file})
	e.Emit(CallSent, "r")
	e.Emit(CallEnded, "r")
	text := file.String()
	got, err := ReadRecords("f", strings.NewReader(text[:len(text)-5]))
	if err != nil || len(got) != 1 {
		t.Errorf("got %d records and error %v, want 1 record", len(got), err)
	}
	_, err = ReadRecords("f", strings.NewReader("garbage\n"+text))
	if !kwcode.Is(err, kwcode.FrameMalformed) {
		t.Errorf("got %v, want %d", err, kwcode.FrameMalformed)
	}
}
