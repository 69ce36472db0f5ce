package measure

import (
	"fmt"
	"io"
	"runtime"
	"strings"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/standin/load"
)

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// oneLine puts a text on one line of a table.
func oneLine(text string) string {
	return strings.ReplaceAll(strings.Join(strings.Fields(text), " "), "|", "/")
}

// writePage writes the page of a deployment.
func writePage(w io.Writer, o Options, deployment string, began time.Time, reports []*report) {
	p := &printer{w}
	p.line("# Measurements of %s\n", deployment)
	p.line("| | |\n|---|---|")
	p.line("| command | `%s` |", o.Command)
	p.line("| commit | %s |", o.Commit)
	p.line("| date | %s |", began.UTC().Format("2006-01-02 15:04 MST"))
	p.line("| seed of the sending times | %d |", o.Seed)
	p.line("| machine | %d cores; all processes and the load generator share them |", runtime.NumCPU())
	p.line("| length of a run | %s |", o.Window)
	p.line("| load average before and after | %s; %s |\n", o.loadBefore, loadAverage())
	p.line("%s\n", method)
	p.verdicts(reports)
	for _, r := range reports {
		p.report(r)
	}
}

// method explains how the figures are made.
const method = `Every entry host and backend server is a process of its own on loopback. A relay delays what passes between failure domains
and between them and the store as the policy says. Callers reach entry hosts, and entry hosts their backend servers, without
delay.

Service times are scaled to the machine: 60 ms for the first service and 100 ms for the second, whose work is mostly payments
or paid orders. Floods go to the second service. Its 36 slots run 360 requests a second, so that a 10-times flood is 3,600
requests a second, well below the 20,000 that the machine can offer and serve. Normal work takes the part of the slots that
the peaks in the deployment's answers take (requests a second times the mean time of each); the lookups of the first service
take a tenth of its capacity where nothing else is said. Callers give a request 2 s; later answers are not in time.

*Late* is the p99 of the time that the generator sent requests after they were due. If it is near the latencies, the machine and
not the system is measured. *Cores* is the processor time of the entry hosts that ran all the time. A lost backend server
closes its listener and all connections, as a killed process does, but keeps its counts so that they can be read later.`

// printer writes lines.
type printer struct{ w io.Writer }

func (p *printer) line(format string, args ...any) { _, _ = fmt.Fprintf(p.w, format+"\n", args...) }

// verdicts lists all targets of all scenarios.
func (p *printer) verdicts(reports []*report) {
	p.line("## Targets\n")
	p.line("| scenario | target | bound | measured | met |\n|---|---|---|---|---|")
	for _, r := range reports {
		for _, t := range r.targets {
			p.line("| %s | %s | %s | %s | %s |", r.name, t.name, t.bound, t.measured, yesNo(t.met))
		}
		if r.err != nil {
			p.line("| %s | the scenario ends without an error | | %s | **no** |", r.name, oneLine(r.err.Error()))
		}
	}
	p.line("")
}

func yesNo(met bool) string {
	if met {
		return "yes"
	}
	return "**no**"
}

func (p *printer) report(r *report) {
	p.line("## %s (`%s`)\n", r.title, r.name)
	p.runs(r.runs)
	if len(r.facts) > 0 {
		p.line("| measured | value |\n|---|---|")
		for _, f := range r.facts {
			p.line("| %s | %s |", f.name, f.value)
		}
		p.line("")
	}
}

func (p *printer) runs(runs []run) {
	if len(runs) == 0 {
		return
	}
	p.line("| run | work | offered | answered in time | refused as not run | unknown | cut | other | p50 ms | p99 ms | p99.9 ms | late ms | results |")
	p.line("|---|---|---|---|---|---|---|---|---|---|---|---|---|")
	for _, r := range runs {
		for _, s := range r.stats {
			p.line("| %s | %s | %d | %d | %d | %d | %d | %d | %.1f | %.1f | %.1f | %.1f | %s |", r.name, s.Name, s.Sent, s.InTime, s.NotRun,
				s.Unknown, s.Cut, s.Other, millis(s.Quantile(0.5)), millis(s.Quantile(0.99)), millis(s.Quantile(0.999)),
				millis(s.Lateness(0.99)), codes(s))
		}
	}
	p.line("")
	p.line("| run | mean headroom of the second service | cores of the entry hosts | largest entry host, MB |\n|---|---|---|---|")
	for _, r := range runs {
		p.line("| %s | %.3f | %.2f | %.1f |", r.name, r.samples.headroom, r.samples.processor, float64(r.samples.largest)/1e6)
	}
	p.line("")
}

// codes lists the result codes other than answers.
func codes(s *load.Stats) string {
	var parts []string
	for _, code := range s.SortedCodes() {
		if code != 0 {
			parts = append(parts, fmt.Sprintf("%d: %d", code, s.Codes[code]))
		}
	}
	return strings.Join(parts, ", ")
}
