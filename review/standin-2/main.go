package main

import (
	"fmt"
	"os"
)

// The exit codes of a script.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitNotRun  = 2
	usageFormat = "usage: %s CASE PROGRAM RECORD\n"
)

// script plays a case. It returns what broke the rule, empty if the rule held.
type script func(f *fleet, trouble bool) (broken string, err error)

var scripts = map[string]script{
	"foreign-page": foreignPage, "order-reused-address": orderToReusedAddress, "stream-run-and-refused": streamRunAndRefused,
	"plain-stream-cut": plainStreamCut, "foreign-ping": foreignPing,
}

func main() {
	if len(os.Args) != 4 || scripts[os.Args[1]] == nil {
		fmt.Fprintf(os.Stderr, usageFormat, os.Args[0])
		os.Exit(exitNotRun)
	}
	os.Exit(play(scripts[os.Args[1]], os.Args[2], os.Args[3], os.Getenv("TROUBLE") != "0"))
}

// play runs a script in a temporary folder and returns its exit code.
func play(run script, program, recordPath string, trouble bool) int {
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(folder) }()
	}
	f, err := newFleet(program, folder, rec)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer f.stop()
	broken, err := run(f, trouble)
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken != "":
		rec.printf("BROKEN: %s", broken)
		fmt.Println("BROKEN:", broken)
		return exitBroken
	}
	rec.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
