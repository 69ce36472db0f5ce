package backendserver

import (
	"maps"
	"time"
)

// Stats counts what a stand-in did.
type Stats struct {
	ID string `json:"id"`
	// Accepted is the number of accepted connections.
	Accepted int `json:"accepted"`
	// Received is the number of requests that were read, health and load excluded.
	Received int `json:"received"`
	// Executions is the number of requests that ran.
	Executions int `json:"executions"`
	// Overload is the number of requests that arrived while all slots were taken.
	Overload int `json:"overload"`
	// Shed is the number of requests refused as not run.
	Shed int `json:"shed"`
	// Cancelled is the number of runs that ended because their connection closed.
	Cancelled int `json:"cancelled"`
	InUse     int `json:"in_use"`
	// MaxInUse is the largest number of requests that ran at once.
	MaxInUse int `json:"max_in_use"`
	// ByKey and ByRequestID count executions.
	ByKey       map[string]int `json:"by_key"`
	ByRequestID map[string]int `json:"by_request_id"`
	// Timeouts holds the last value of Foxtailtack-Timeout-Ms by request id.
	Timeouts map[string]string `json:"timeouts"`
}

// Duplicates lists the keys and request ids that ran more than once.
func (s Stats) Duplicates() []string {
	var list []string
	for key, count := range s.ByKey {
		if count > 1 {
			list = append(list, "key "+key)
		}
	}
	for id, count := range s.ByRequestID {
		if count > 1 {
			list = append(list, "request "+id)
		}
	}
	return list
}

// Stats returns a copy of the counts.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.stats
	c.ByKey = maps.Clone(c.ByKey)
	c.ByRequestID = maps.Clone(c.ByRequestID)
	c.Timeouts = maps.Clone(c.Timeouts)
	return c
}

// begin takes a slot and counts the execution. It reports false if the request is shed.
func (s *Server) begin(key, id string, shed bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	full := s.stats.InUse >= s.options.Slots
	if full {
		s.stats.Overload++
	}
	if shed || full && !s.options.RunOverload {
		s.stats.Shed++
		return false
	}
	s.stats.InUse++
	s.stats.MaxInUse = max(s.stats.MaxInUse, s.stats.InUse)
	s.stats.Executions++
	if key != "" {
		s.stats.ByKey[key]++
	}
	if id != "" {
		s.stats.ByRequestID[id]++
	}
	return true
}

func (s *Server) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.InUse--
}

func (s *Server) endCancelled() {
	if s.options.CancelDelay > 0 {
		time.Sleep(s.options.CancelDelay)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Cancelled++
	s.stats.InUse--
}

// serviceTime draws the time of one request.
func (s *Server) serviceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.options.ServiceTime
	if s.options.Jitter > 0 {
		d += time.Duration(s.rng.Int64N(int64(s.options.Jitter)))
	}
	if time.Since(s.started) < s.options.ColdFor {
		d = time.Duration(float64(d) * s.options.ColdFactor)
	}
	return d
}
