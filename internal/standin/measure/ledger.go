package measure

import (
	"fmt"
	"sync"

	"github.com/foxtailtack/foxtailtack/internal/standin/load"
)

// outcome is what a caller knows of a request with a key.
type outcome int

const (
	outcomeAnswered outcome = iota
	outcomeNotRun
	outcomeUnknown
)

// ledger holds what the callers know of each request with a key.
type ledger struct {
	mu    sync.Mutex
	byKey map[string]outcome
}

func newLedger() *ledger { return &ledger{byKey: map[string]outcome{}} }

func (l *ledger) observe(request load.Request, result load.Result) {
	known := outcomeUnknown
	switch {
	case result.Answered():
		known = outcomeAnswered
	case result.NotRun():
		known = outcomeNotRun
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byKey[request.IdempotencyKey] = known
}

// audit compares the ledger with the executions that the backend servers counted.
type audit struct {
	Keys, Answered, NotRun, Unknown int
	// FalseNotRun counts keys that were refused as not run but ran.
	FalseNotRun int
	// Duplicates counts keys that ran more than once.
	Duplicates int
	// AnsweredUnrun counts keys that were answered but did not run.
	AnsweredUnrun int
}

func (l *ledger) audit(executions map[string]int) audit {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := audit{Keys: len(l.byKey)}
	for key, known := range l.byKey {
		a.add(known, executions[key])
	}
	return a
}

func (a *audit) add(known outcome, executions int) {
	if executions > 1 {
		a.Duplicates++
	}
	switch known {
	case outcomeAnswered:
		a.Answered++
		if executions == 0 {
			a.AnsweredUnrun++
		}
	case outcomeNotRun:
		a.NotRun++
		if executions > 0 {
			a.FalseNotRun++
		}
	case outcomeUnknown:
		a.Unknown++
	}
}

func (a audit) String() string {
	return fmt.Sprintf("%d keys: %d answered, %d refused as not run, %d unknown", a.Keys, a.Answered, a.NotRun, a.Unknown)
}
