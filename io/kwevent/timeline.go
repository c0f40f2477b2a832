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

// MergeRecords merges the records of several processes in the order of their hybrid logical timestamps.
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

// maxLineBytes limits the length of a line that is read.
const maxLineBytes = 1 << 20

// ReadRecords parses an events file. It ignores a last line that is incomplete, since the process may have ended while
// writing it; any other invalid line is an error.
func ReadRecords(name string, r io.Reader) ([]Record, error) {
	var out []Record
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	var invalid error
	for line := 1; scanner.Scan(); line++ {
		if invalid != nil {
			return nil, invalid
		}
		var record Record
		if err := json.Unmarshal(scanner.Bytes(), &record); err != nil {
			invalid = kwcode.New(kwcode.FrameMalformed, "%s:%d: not an event: %v", name, line, err)
			continue
		}
		out = append(out, record)
	}
	if err := scanner.Err(); err != nil {
		return nil, kwcode.New(kwcode.FrameMalformed, "%s: %v", name, err)
	}
	return out, nil
}

// WriteText writes one line per record, with times relative to the first record.
func WriteText(w io.Writer, records []Record) error {
	if len(records) == 0 {
		return nil
	}
	start := records[0].Timestamp.Wall
	for _, r := range records {
		at := time.Duration(r.Timestamp.Wall-start) * time.Microsecond
		_, err := fmt.Fprintf(w, "%12s  %-14s  %3d %-20s %s\n", at, r.Node, int(r.ID), r.Name, formatDetails(r))
		if err != nil {
			return err
		}
	}
	return nil
}

func formatDetails(r Record) string {
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
