package placement

import (
	"time"
)

const (
	// reportDecay is the time in which the reported load of other hosts decays to the server's average.
	reportDecay = 500 * time.Millisecond
	// averageDecay is the time in which the average load of a server decays to the average of its service in the region.
	// Without this decay, a server that gets no requests after a busy period would keep its high estimate forever.
	averageDecay = 2 * time.Second
	// averageLoadHold is the time without a report for which the average load of a service in a region stays unchanged. It then
	// decays, and after twice this time the servers count as idle. A host that considers all servers full rejects all requests,
	// and only responses to new requests could correct its estimate. The time is a few request timeouts, after which the latest
	// requests have completed.
	averageLoadHold = 4 * time.Second
	// slownessDecay is the time in which the slowness of a server that gets no requests decays to 1.
	slownessDecay = 3 * time.Second
	// smoothingFactor is the weight of the latest response in averages of slowness and of the load of other hosts.
	smoothingFactor = 0.2
	// maxSlowness limits a single observation of slowness.
	maxSlowness = 20
)

// load estimates the number of requests at a backend server. Requests of this host are counted; those of other hosts are
// estimated from the server's reports.
type load struct {
	// ownRequests is the number of requests of this host at the server.
	ownRequests int
	// reportedOthers is the number of requests of other hosts in the latest report, averageOthers the moving average of it.
	reportedOthers float64
	averageOthers  float64
	// reported is the time of the latest report, zero if there is none.
	reported time.Time
}

// report records the number of running and waiting requests that a response reported. It returns the number from other hosts.
func (l *load) report(requests int, now time.Time) float64 {
	l.reportedOthers = max(0, float64(requests-l.ownRequests))
	if l.reported.IsZero() {
		l.averageOthers = l.reportedOthers
	} else {
		l.averageOthers += smoothingFactor * (l.reportedOthers - l.averageOthers)
	}
	l.reported = now
	return l.reportedOthers
}

// estimate returns the expected number of requests at the server. similarServers is the average load from other hosts at servers
// of the same service and region.
func (l *load) estimate(similarServers float64, now time.Time) float64 {
	if l.reported.IsZero() {
		return float64(l.ownRequests) + similarServers
	}
	age := now.Sub(l.reported)
	average := l.averageOthers + decay(age, averageDecay)*(similarServers-l.averageOthers)
	return float64(l.ownRequests) + l.reportedOthers + decay(age, reportDecay)*(average-l.reportedOthers)
}

// averageLoad is the average number of requests from other hosts per slot at the servers of a service in a region.
type averageLoad struct {
	movingAverage
	reported time.Time
}

func (u *averageLoad) report(requestsPerSlot float64, now time.Time) {
	u.add(requestsPerSlot)
	u.reported = now
}

func (u *averageLoad) at(now time.Time) float64 {
	return u.value * (1 - decay(max(0, now.Sub(u.reported)-averageLoadHold), averageLoadHold))
}

// decay returns the share by which an observation has decayed: it rises linearly from 0 to 1 over the period.
func decay(age, period time.Duration) float64 { return min(1, float64(age)/float64(period)) }

// slowness is the factor by which a server is slower than the average of its service.
type slowness struct {
	factor   float64
	observed time.Time
}

func (s *slowness) observe(factor float64, now time.Time) {
	current := s.at(now)
	s.factor = current + smoothingFactor*(min(maxSlowness, factor)-current)
	s.observed = now
}

func (s *slowness) at(now time.Time) float64 {
	if s.observed.IsZero() {
		return 1
	}
	return s.factor + decay(now.Sub(s.observed), slownessDecay)*(1-s.factor)
}

// movingAverage is an exponential moving average.
type movingAverage struct {
	value float64
	count int
}

func (m *movingAverage) add(value float64) {
	m.count++
	weight := max(smoothingFactor, 1/float64(m.count))
	m.value += weight * (value - m.value)
}

// quantile estimates a quantile of a stream of times in seconds.
type quantile struct {
	value float64
	count int
}

// quantileStep is the largest relative change of a quantile per observation.
const quantileStep = 0.05

// add adjusts the value so that the given share of the observations lies below it.
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
