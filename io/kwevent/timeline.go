package kwevent

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"knapweedproxy/core/kwcode"
)

// MergeRecords orders the records of several processes by their hybrid logical stamps.
func MergeRecords(lists ...[]Record) []Record {
	out := slices.Concat(lists...)
	slices.SortStableFunc(out, func(a, b Record) int {
		if a.Timestamp.Before(b.Timestamp) {
			return -1
		}
		if b.Timestamp.Before(a.Timestamp) {
			return 1
		}
		return strings.Compare(string(a.Node), string(b.Node))
	})
	return out
}

const maxLine = 1 << 20

// ReadRecords parses an events file; a last line that is cut off is left out, any other bad line is an error.
func ReadRecords(name string, r io.Reader) ([]Record, error) {
	var out []Record
	scan := bufio.NewScanner(r)
	scan.Buffer(nil, maxLine)
	var bad error
	for row := 1; scan.Scan(); row++ {
		if bad != nil {
			return nil, bad
		}
		var record Record
		if err := json.Unmarshal(scan.Bytes(), &record); err != nil {
			bad = kwcode.New(kwcode.FrameMalformed, "%s:%d: not an event: %v", name, row, err)
			continue
		}
		out = append(out, record)
	}
	if err := scan.Err(); err != nil {
		return nil, kwcode.New(kwcode.FrameMalformed, "%s: %v", name, err)
	}
	return out, nil
}

// WriteText writes one line a record, with times relative to the first record.
func WriteText(w io.Writer, records []Record) error {
	if len(records) == 0 {
		return nil
	}
	start := records[0].Timestamp.Wall
	for _, r := range records {
		at := time.Duration(r.Timestamp.Wall-start) * time.Microsecond
		_, err := fmt.Fprintf(w, "%12s  %-14s  %3d %-20s %s\n", at, r.Node, int(r.ID), r.Name, describe(r))
		if err != nil {
			return err
		}
	}
	return nil
}

func describe(r Record) string {
	var parts []string
	if r.Request != "" {
		parts = append(parts, "request="+string(r.Request))
	}
	for _, f := range r.Fields {
		parts = append(parts, fmt.Sprintf("%s=%v", f.Key, f.Value))
	}
	return strings.Join(parts, " ")
}

// WriteJSON writes the records as JSON lines.
func WriteJSON(w io.Writer, records []Record) error {
	enc := json.NewEncoder(w)
	for _, r := range records {
		if err := enc.Encode(r); err != nil {
			return err
		}
	}
	return nil
}
