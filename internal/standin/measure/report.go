package measure

import (
	"fmt"

	"github.com/foxtailtack/foxtailtack/internal/standin/load"
)

// report is what one scenario measured.
type report struct {
	name, title string
	runs        []run
	facts       []fact
	targets     []target
	// err is the error that ended the scenario early.
	err error
}

// run is one time of load with its results.
type run struct {
	name    string
	stats   []*load.Stats
	samples samples
}

// fact is one measured value without a target.
type fact struct{ name, value string }

// target is a bound with the measured value.
type target struct {
	name, bound, measured string
	met                   bool
}

func (r *report) fact(name, format string, args ...any) {
	r.facts = append(r.facts, fact{name, fmt.Sprintf(format, args...)})
}

// atMost adds a target with an upper bound.
func (r *report) atMost(name string, measured, bound float64, unit string) {
	r.target(name, "at most", measured, bound, unit, measured <= bound, measured-bound)
}

// atLeast adds a target with a lower bound.
func (r *report) atLeast(name string, measured, bound float64, unit string) {
	r.target(name, "at least", measured, bound, unit, measured >= bound, bound-measured)
}

func (r *report) target(name, relation string, measured, bound float64, unit string, met bool, distance float64) {
	t := target{name: name, bound: fmt.Sprintf("%s %s%s", relation, number(bound), unit), measured: number(measured) + unit, met: met}
	if !met {
		t.measured += fmt.Sprintf(" (missed by %s%s)", number(distance), unit)
	}
	r.targets = append(r.targets, t)
}

// number writes a value without a fraction if it has none.
func number(v float64) string {
	if v == float64(int64(v)) {
		return fmt.Sprint(int64(v))
	}
	return fmt.Sprintf("%.3f", v)
}

// stream returns the result of a stream of a run.
func (r run) stream(name string) *load.Stats {
	for _, s := range r.stats {
		if s.Name == name {
			return s
		}
	}
	return &load.Stats{Name: name}
}
