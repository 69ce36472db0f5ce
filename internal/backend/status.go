package backend

import "time"

// Status is the state of one backend server for operators.
type Status struct {
	ID      string
	Service string
	Leaving bool
	// Notice names the source by which the backend server is leaving: operator, host_list, health, header or peer; empty if the
	// server is not leaving.
	Notice  string
	Ejected bool
	// Unhealthy is true if the health endpoint returns a failure status.
	Unhealthy bool
	Ramping   bool
	// Load is the reported share (0 to 1) of its slots in use; LoadAge is the age of the report, negative if there is no report.
	Load    float64
	LoadAge time.Duration
}

// Statuses lists the state of all backend servers, sorted by id.
func (r *Registry) Statuses(now time.Time) []Status {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []Status
	for _, id := range r.sortedIDs() {
		list = append(list, r.servers[id].status(id, now))
	}
	return list
}

func (s *serverState) status(id string, now time.Time) Status {
	status := Status{
		ID:        id,
		Service:   s.server.Service,
		Leaving:   s.updateLeaving(now),
		Ejected:   s.ejection.ejected,
		Unhealthy: s.unhealthy,
		Ramping:   !s.ramp.done(now),
	}
	if status.Leaving {
		status.Notice = s.drain.reason()
	}
	status.Load, status.LoadAge = s.load.latest(now)
	return status
}

// reason names the first source that reports the backend server as leaving. If none of this host's own sources does, it is a peer's
// notice.
func (d *drainState) reason() string {
	if d.operator {
		return "operator"
	}
	names := [sourceCount]string{HostList: "host_list", HealthEndpoint: "health", ResponseHeader: "header"}
	for source, state := range d.sources {
		if state.leaving {
			return names[source]
		}
	}
	return "peer"
}

// latest returns the latest report as a share of the slots, with its age, which is negative if there is no report.
func (h reportedLoad) latest(now time.Time) (float64, time.Duration) {
	if h.requestedAt.IsZero() || h.report.Slots <= 0 {
		return 0, -time.Millisecond
	}
	return float64(h.report.InUse) / float64(h.report.Slots), now.Sub(h.requestedAt)
}

// Connections returns the number of open connections to a backend server.
func (c *Client) Connections(id string) int {
	c.mu.Lock()
	s := c.servers[id]
	c.mu.Unlock()
	if s == nil {
		return 0
	}
	s.limit.mu.Lock()
	defer s.limit.mu.Unlock()
	return s.limit.open
}
