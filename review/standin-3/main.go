// Command standin-3 plays the cases of the third review that are no days for the bench: it starts the deployed program as separate processes on
// loopback addresses, with stand-ins for the operator, the servers and the clients.
package main

import (
	"fmt"
	"os"
)

// result is the outcome of a case, as its exit status.
type result int

const (
	held   result = 0
	broken result = 1
	unable result = 2
)

// scene is what a case is played with.
type scene struct {
	fleet  *fleet
	record *record
	// trouble is false for the play without the disruption.
	trouble bool
}

var cases = map[string]func(*scene) result{
	"no-tenants":      noTenants,
	"many-workspaces": manyWorkspaces,
	"incomplete-ping": incompletePing,
}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin-3 CASE PROGRAM RECORD")
		os.Exit(int(unable))
	}
	os.Exit(int(play(os.Args[1], os.Args[2], os.Args[3])))
}

func play(name, program, recordPath string) result {
	scenario, ok := cases[name]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case:", name)
		return unable
	}
	rec, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	folder, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	f, err := newFleet(program, folder, "rennes", "quimper", "saint-brieuc")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return unable
	}
	defer func() {
		f.stop()
		if os.Getenv("KEEP") == "" {
			_ = os.RemoveAll(folder)
		} else {
			fmt.Println("logs:", folder)
		}
	}()
	s := &scene{fleet: f, record: rec, trouble: os.Getenv("TROUBLE") != "0"}
	out := scenario(s)
	rec.add("result: %s", map[result]string{held: "the rule held", broken: "the rule was broken", unable: "the case could not run"}[out])
	return out
}
