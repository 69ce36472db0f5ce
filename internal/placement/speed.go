package placement

import "time"

// Load that this file answers: servers that share their machines with other work, so that a part of them is several times slower for some
// hundred milliseconds, and then others are.

const (
	// speedDecay is the time in which a reported speed decays to the average of the service. Reports of such servers changed about each 600 ms.
	speedDecay = 600 * time.Millisecond
	// minSpeed and maxSpeed limit the speeds that are used; 1 is normal.
	minSpeed = 0.1
	maxSpeed = 20
)

// machineSpeed is the time that work takes on the machine of a server, relative to the normal time, as the server reported it last.
type machineSpeed struct {
	factor   float64
	reported time.Time
}

// report records a speed unless a later one is known.
func (s *machineSpeed) report(factor float64, at time.Time) bool {
	if factor < minSpeed || factor > maxSpeed || !at.After(s.reported) {
		return false
	}
	s.factor, s.reported = factor, at
	return true
}

// at returns the expected speed. average is that of the servers of the service, and the result is 1 if the server has reported none.
func (s *machineSpeed) at(average float64, now time.Time) float64 {
	if s.reported.IsZero() {
		return 1
	}
	return s.factor + decay(now.Sub(s.reported), speedDecay)*(average-s.factor)
}

// reportSpeed records the speed that a server reported.
func (t *Table) reportSpeed(s *server, factor float64, at time.Time) {
	if s.speed.report(factor, at) {
		t.averageSpeed(s.entry.Service).add(factor)
	}
}

// averageSpeed returns the moving average of the speeds that the servers of a service report.
func (t *Table) averageSpeed(service string) *movingAverage {
	return getOrCreate(t.averageSpeeds, service)
}

// speedOf returns the expected speed of the machine of a server.
func (t *Table) speedOf(s *server, now time.Time) float64 {
	return s.speed.at(t.averageSpeed(s.entry.Service).value, now)
}
