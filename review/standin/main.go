//go:build review

// Command standin runs the cases of the review: it starts the entry hosts of a small deployment with the command of the deploy
// file, and stands in for the platform, the upstreams and the clients.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

// cases maps the names of the cases to what they do. Each reports whether the rule was broken.
var cases = map[string]func(d *run) (bool, error){
	"memory":    runMemory,
	"mixed":     runMixed,
	"lost":      runLost,
	"heartbeat": runHeartbeat,
}

// run is one run of a case.
type run struct {
	record  *record
	dir     string
	trouble bool
}

func main() { os.Exit(runCase(os.Args[1:])) }

// runCase runs the case of the first argument and writes to the folder of the second one.
func runCase(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	if os.Getenv("REVIEW_KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	broken, err := cases[args[0]](&run{record: rec, dir: dir, trouble: os.Getenv("TROUBLE") != "0"})
	switch {
	case err != nil:
		rec.log("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken:
		rec.log("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	default:
		rec.log("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}
