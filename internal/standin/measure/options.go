// Package measure runs the measurements: scenarios on a whole deployment of processes on loopback, each with its targets, and
// a Markdown page for each deployment.
package measure

import (
	"time"

	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// Options says what to measure.
type Options struct {
	// Entry and Standin are the paths of the two programs.
	Entry, Standin string
	// Dir is for settings and logs of the deployments.
	Dir string
	// Out is the folder of the pages.
	Out string
	// Deployments are the names of folders under deployments/.
	Deployments []string
	// Scenario limits the run to one scenario; empty means all.
	Scenario string
	// Window is the time for which each run sends requests. Shorter than 5 s, some scenarios have no time for their steps.
	Window time.Duration
	// Seed seeds the times at which requests are sent.
	Seed uint64
	// Command is the command line for the page.
	Command string
	// Commit is the commit for the page.
	Commit string

	// loadBefore is the load average before the first scenario.
	loadBefore string
}

// Service times of the stand-ins. The second service has 36 slots in both deployments, so 100 ms give a capacity of 360
// requests a second and a 10-times flood of 3,600. At 9,000 a second (40 ms) the machine, when it also ran other work, sent
// the flood up to 2.6 s late, so that the machine was measured. The first service has up to 216 slots; with 60 ms it has a
// capacity of at most 3,600, of which the scenarios offer up to 0.5.
const (
	firstServiceTime  = 60 * time.Millisecond
	secondServiceTime = 100 * time.Millisecond
)

// requestTimeout is the time that callers give a request; later answers are not in time.
const requestTimeout = 2 * time.Second

func serviceTimes(doc *policy.Document) map[string]time.Duration {
	return map[string]time.Duration{
		doc.Services[0].Name: firstServiceTime,
		doc.Services[1].Name: secondServiceTime,
	}
}
