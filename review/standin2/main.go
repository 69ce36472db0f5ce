//go:build review

package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// timeLimit ends a script that hangs, with all of its processes.
const timeLimit = 100 * time.Second

// cases holds the scripts by name. Each runs with or without its disruption and returns what broke the rule.
var cases = map[string]func(d *deployment, trouble bool) ([]string, error){
	"lost-answer": lostAnswer,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		_, _ = fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(name, dir string, trouble bool) int {
	d, err := newDeployment(dir)
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer d.end()
	go d.endEarly()
	d.note("case %s, with its disruption: %t", name, trouble)
	broken, err := cases[name](d, trouble)
	if err != nil {
		d.note("the case could not run: %v", err)
		_, _ = fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	for _, text := range broken {
		d.note("BROKEN: %s", text)
	}
	_, _ = fmt.Printf("%s, trouble %t: the rule was broken %d times\n", name, trouble, len(broken))
	if len(broken) > 0 {
		return exitBroken
	}
	return exitHeld
}

// endEarly ends the script at a signal or at the time limit.
func (d *deployment) endEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(timeLimit):
	}
	d.end()
	os.Exit(exitNotRun)
}
