package placement

import (
	"time"
)

const (
	// reportFade is the time constant with which a report about the work of other hosts fades towards their average.
	reportFade = 500 * time.Millisecond
	// smoothing is the weight of the latest answer in averages of service times and of the work of other hosts.
	smoothing = 0.2
	// maxSlowness bounds the factor by which a backend server counts as slower than its service.
	maxSlowness = 20
)

// load estimates the requests at a backend server: those of this host exactly, those of others from the server's reports.
type load struct {
	// own is the number of requests of this host at the server.
	own int
	// others is what the latest report said of other hosts, average what reports said over time.
	others  float64
	average float64
	// reported is the time of the latest report, zero if there is none.
	reported time.Time
}

// report takes the number of running and waiting requests that an answer told.
func (l *load) report(requests int, now time.Time) {
	l.others = max(0, float64(requests-l.own))
	if l.reported.IsZero() {
		l.average = l.others
	} else {
		l.average += smoothing * (l.others - l.average)
	}
	l.reported = now
}

// estimate returns the expected number of requests at the server.
func (l *load) estimate(now time.Time) float64 {
	if l.reported.IsZero() {
		return float64(l.own)
	}
	fade := min(1, float64(now.Sub(l.reported))/float64(reportFade))
	return float64(l.own) + l.others + fade*(l.average-l.others)
}

// mean is an exponential average.
type mean struct {
	value float64
	count int
}

func (m *mean) add(value float64) {
	m.count++
	weight := max(smoothing, 1/float64(m.count))
	m.value += weight * (value - m.value)
}
