//go:build review3

package main

import (
	"flag"
	"fmt"
	"os"
	"runtime"
)

// Hosts end with the thread that has started them, so all of them are started by the main thread, which ends last.
func init() { runtime.LockOSThread() }

var cases = map[string]func(w *world, trouble bool) bool{}

func main() {
	program := flag.String("program", "target/foxtailtack", "the product")
	recordPath := flag.String("record", "record.txt", "the record")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	os.Exit(run(flag.Arg(0), *program, *recordPath, *trouble))
}

// run plays a case and returns 0 if the rule held, 1 if it was broken, 2 if the case could not run.
func run(name, program, recordPath string, trouble bool) (code int) {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "unknown case", name)
		return 2
	}
	defer func() {
		if r := recover(); r != nil {
			if _, ok := r.(cannotRun); !ok {
				fmt.Fprintln(os.Stderr, "the case failed:", r)
			}
			code = 2
		}
	}()
	w := newWorld(program, recordPath)
	defer w.close()
	if play(w, trouble) {
		fmt.Println(name + ": the rule held")
		return 0
	}
	fmt.Println(name + ": the rule was broken")
	return 1
}
