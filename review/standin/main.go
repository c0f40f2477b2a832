package main

import (
	"flag"
	"fmt"
	"os"
)

// Exit codes of a scenario.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// scenario plays a case; trouble says whether with its disturbance. An error means that it could not run.
type scenario func(r *record, folder string, trouble bool) error

var scenarios = map[string]scenario{
	"backlog": backlog,
	"extra":   extraAnswers,
	"writer":  otherWriter,
}

func main() {
	recordPath := flag.String("record", "record.txt", "the file for the record")
	flag.Parse()
	os.Exit(run(flag.Arg(0), *recordPath))
}

func run(name, recordPath string) int {
	play, ok := scenarios[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scenario", name)
		return exitNotRun
	}
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	if err := play(r, folder, os.Getenv("TROUBLE") != "0"); err != nil {
		r.logf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, "could not run:", err)
		return exitNotRun
	}
	if breaks := r.breaks(); len(breaks) > 0 {
		fmt.Println("broken:", breaks[0])
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}
