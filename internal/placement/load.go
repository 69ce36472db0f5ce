package placement

import (
	"time"
)

const (
	// reportFade is the time constant with which a report about the work of other hosts fades towards the server's average.
	reportFade = 500 * time.Millisecond
	// averageFade is the age of the latest report at which the average of a server counts no more than that of its service in
	// the region: a server that got no request since it was busy would else look busy for ever.
	averageFade = 2 * time.Second
	// usualHold is the time without any report up to which the average work at the servers of a service and region is believed;
	// after twice that time the servers are taken to be idle. A host that takes all servers to be full rejects all work, and
	// only the answers to new work could show it that they are not. It is a few times the timeouts of requests, after which the
	// answers to the latest ones are in.
	usualHold = 4 * time.Second
	// slownessFade is the time constant with which the slowness of a server that gets no requests is forgotten.
	slownessFade = 3 * time.Second
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

// report takes the number of running and waiting requests that an answer told. It returns those of other hosts.
func (l *load) report(requests int, now time.Time) float64 {
	l.others = max(0, float64(requests-l.own))
	if l.reported.IsZero() {
		l.average = l.others
	} else {
		l.average += smoothing * (l.others - l.average)
	}
	l.reported = now
	return l.others
}

// estimate returns the expected number of requests at the server. Usual is the average of other servers like this one.
func (l *load) estimate(usual float64, now time.Time) float64 {
	if l.reported.IsZero() {
		return float64(l.own) + usual
	}
	age := now.Sub(l.reported)
	average := l.average + fade(age, averageFade)*(usual-l.average)
	return float64(l.own) + l.others + fade(age, reportFade)*(average-l.others)
}

// usual is the average work of other hosts for each slot of the servers of a service in a region.
type usual struct {
	mean
	reported time.Time
}

func (u *usual) report(requestsPerSlot float64, now time.Time) {
	u.add(requestsPerSlot)
	u.reported = now
}

func (u *usual) at(now time.Time) float64 {
	return u.value * (1 - fade(max(0, now.Sub(u.reported)-usualHold), usualHold))
}

// fade grows from 0 to 1 while an observation ages.
func fade(age, full time.Duration) float64 { return min(1, float64(age)/float64(full)) }

// slowness is the factor by which a server is slower than its service.
type slowness struct {
	factor   float64
	observed time.Time
}

func (s *slowness) observe(factor float64, now time.Time) {
	current := s.at(now)
	s.factor = current + smoothing*(min(maxSlowness, factor)-current)
	s.observed = now
}

func (s *slowness) at(now time.Time) float64 {
	if s.observed.IsZero() {
		return 1
	}
	return s.factor + fade(now.Sub(s.observed), slownessFade)*(1-s.factor)
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

// quantile follows a quantile of a stream of times in seconds.
type quantile struct {
	value float64
	count int
}

// quantileStep is the relative step of a quantile with each observation.
const quantileStep = 0.05

// add moves the value up or down, so that the given share of the observations lies below it.
func (q *quantile) add(seconds, share float64) {
	q.count++
	switch {
	case q.count == 1:
		q.value = seconds
	case seconds > q.value:
		q.value *= 1 + quantileStep*share
	default:
		q.value *= 1 - quantileStep*(1-share)
	}
}
