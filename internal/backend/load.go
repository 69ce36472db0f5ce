package backend

import "time"

// loadMaxAge is the age above which a reported load is ignored: 1.5 times the period of the load polls.
const loadMaxAge = 6 * time.Second

// LoadReport is the load that a backend server reports.
type LoadReport struct {
	InUse int `json:"in_use"`
	Slots int `json:"slots"`
}

// reportedLoad is the latest report with the time at which the request for it was sent.
type reportedLoad struct {
	report      LoadReport
	requestedAt time.Time
}

// share returns the reported load as a share of the slots. It reports false if the report is stale, inconsistent, or below the
// number of requests that this host itself runs on the backend server.
func (h reportedLoad) share(ownInUse int, now time.Time) (float64, bool) {
	if h.requestedAt.IsZero() || now.Sub(h.requestedAt) > loadMaxAge {
		return 0, false
	}
	if h.report.Slots <= 0 || h.report.InUse < ownInUse || h.report.InUse > h.report.Slots {
		return 0, false
	}
	return float64(h.report.InUse) / float64(h.report.Slots), true
}

// RecordLoad records a report that was requested at sentAt. A report that was requested no later than the recorded one is ignored.
func (r *Registry) RecordLoad(id string, report LoadReport, sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.servers[id]
	if s != nil && sentAt.After(s.load.requestedAt) {
		s.load = reportedLoad{report: report, requestedAt: sentAt}
	}
}
