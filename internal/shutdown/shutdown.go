// Package shutdown decides which requests a stopping entry host still passes on, so that none is cut without a response when the process
// exits. It does no I/O.
package shutdown

import "time"

const (
	// serveShare is the share of the grace period for which a stopping host still accepts connections. Callers may still use look-up
	// responses that include it.
	serveShare = 0.45
	// lateAfter is the time after SIGTERM from which the platform expects each request that a host has passed on to be completed, however
	// long its backend server takes.
	lateAfter = 3 * time.Second
	// maxExitMargin is the longest time reserved at the end of the grace period, after which the platform kills the process.
	// maxAnswerMargin is the longest time before that in which the last responses are written. In short grace periods the margins are
	// exitShare and answerShare of the period.
	maxExitMargin   = 400 * time.Millisecond
	maxAnswerMargin = 200 * time.Millisecond
	exitShare       = 1.0 / 15
	answerShare     = 1.0 / 30
)

// Plan holds the times of a planned stop. A nil Plan means that the host is not stopping.
type Plan struct {
	// LateFrom is the time from which a request is only passed on if it certainly ends by AnswerBy.
	LateFrom time.Time
	// AnswerBy is the time at which requests that still run are answered with a failure, ExitBy the time at which the process exits.
	AnswerBy, ExitBy time.Time
}

// NewPlan returns the plan of a stop that was requested at a time, with a grace period after which the process is killed.
func NewPlan(requested time.Time, grace time.Duration) *Plan {
	share := func(s float64) time.Duration { return time.Duration(s * float64(grace)) }
	exitBy := requested.Add(grace - min(maxExitMargin, share(exitShare)))
	return &Plan{
		LateFrom: requested.Add(min(lateAfter, share(serveShare))),
		AnswerBy: exitBy.Add(-min(maxAnswerMargin, share(answerShare))),
		ExitBy:   exitBy,
	}
}

// MayStart reports whether a request with a deadline may be passed on. Early in the grace period nearly all requests are completed in
// time, later only those with a deadline before its end are certain to be.
func (p *Plan) MayStart(deadline, now time.Time) bool {
	return p == nil || now.Before(p.LateFrom) || !deadline.After(p.AnswerBy)
}
