// Package steering selects the entry host to which a request is forwarded when the own slots are full, determines which requests a
// planned shift moves, and limits how fast look-up weights change. docs/steering.md has the rules and their reasons.
package steering

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
)

const (
	// smoothingTime is the time constant of the smoothed headroom. Heartbeats arrive every second and summaries every 2 s, so
	// one report has a weight of 0.39 or 0.63.
	smoothingTime = 2 * time.Second
	// ageHalfLife is the age at which the weight of a reported headroom is halved.
	ageHalfLife = 2 * time.Second
	// staleAfter is the age of a report from which its host comes after all others. It corresponds to two missed summaries.
	staleAfter = 2*membership.SummaryInterval + time.Second
	// minFree is the smallest smoothed headroom with which a host is a candidate. It is above 0 because a smoothed value rarely
	// reaches 0.
	minFree = 0.2
	// DefaultMaxCandidates is the maximum length of the list that Candidates returns. A request is forwarded at most twice, and a
	// target may lack a grant, so a few more than two suffice.
	DefaultMaxCandidates = 6
)

// Candidate is an entry host to which a request may be forwarded.
type Candidate struct {
	Host          string
	FailureDomain string
	Region        string
	// OneWay is the one-way delay to the host.
	OneWay time.Duration
	// Free is the smoothed headroom of the rank, discounted by its age.
	Free float64
}

// Planner tracks the headroom of the other hosts and selects candidates among them. It is not safe for concurrent use.
type Planner struct {
	snapshot *policy.Snapshot
	self     string
	domain   string
	rng      *rand.Rand
	hosts    map[string]*hostState
	// groups caches for each service the hosts that serve it, by distance. It is cleared when the set of hosts or the policy changes.
	groups map[string][]*group
	chosen []Candidate
	pool   []weightedHost
}

// hostState is the latest known state of one host.
type hostState struct {
	id          string
	domain      string
	incarnation membership.Incarnation
	counter     uint64
	state       membership.State
	receivedAt  time.Time
	free        map[string][rank.Count]float64
	usable      map[string]int
}

// New returns a Planner for the host self in the failure domain.
func New(snapshot *policy.Snapshot, self, failureDomain string, rng *rand.Rand) *Planner {
	return &Planner{
		snapshot: snapshot,
		self:     self,
		domain:   failureDomain,
		rng:      rng,
		hosts:    make(map[string]*hostState),
		groups:   make(map[string][]*group),
	}
}

// SetSnapshot sets the policy in force.
func (p *Planner) SetSnapshot(snapshot *policy.Snapshot) {
	p.snapshot = snapshot
	clear(p.groups)
}

// Observe processes the report of a host in a heartbeat or a summary. receivedAt is when the report was received, by the clock of
// this process. A report that is not newer than the last one is dropped.
func (p *Planner) Observe(failureDomain string, m membership.Member, receivedAt time.Time) {
	h := p.hosts[m.ID]
	if h == nil || h.incarnation < m.Incarnation || h.domain != failureDomain {
		h = &hostState{id: m.ID, domain: failureDomain, incarnation: m.Incarnation, free: make(map[string][rank.Count]float64), usable: make(map[string]int)}
		p.hosts[m.ID] = h
		clear(p.groups)
	} else if m.Incarnation < h.incarnation || m.Counter <= h.counter {
		return
	}
	weight := 1.0
	if !h.receivedAt.IsZero() {
		weight = 1 - math.Exp(-receivedAt.Sub(h.receivedAt).Seconds()/smoothingTime.Seconds())
	}
	h.counter, h.state, h.receivedAt = m.Counter, m.State, receivedAt
	h.smooth(m.Headroom, weight)
}

// ObserveSummary processes the summary of another failure domain.
func (p *Planner) ObserveSummary(s membership.Summary, receivedAt time.Time) {
	for _, m := range s.Members {
		p.Observe(s.FailureDomain, m, receivedAt)
	}
}

// Forget removes a host that is gone.
func (p *Planner) Forget(host string) {
	if _, found := p.hosts[host]; found {
		delete(p.hosts, host)
		clear(p.groups)
	}
}

// Expire removes the hosts whose latest report has reached the age SummaryMaxAge.
func (p *Planner) Expire(now time.Time) {
	for id, h := range p.hosts {
		if now.Sub(h.receivedAt) >= membership.SummaryMaxAge {
			p.Forget(id)
		}
	}
}

// smooth updates the smoothed headroom with a report of the given weight. A report without usable slots replaces it immediately.
func (h *hostState) smooth(reported []membership.Headroom, weight float64) {
	seen := make(map[string]bool, len(reported))
	for _, report := range reported {
		seen[report.Service] = true
		h.usable[report.Service] = report.Usable
		smoothed, known := h.free[report.Service]
		if !known || report.Usable == 0 {
			h.free[report.Service] = report.Free
			continue
		}
		for r := range smoothed {
			smoothed[r] += weight * (max(0, report.Free[r]) - smoothed[r])
		}
		h.free[report.Service] = smoothed
	}
	for service := range h.free {
		if !seen[service] {
			delete(h.free, service)
			delete(h.usable, service)
		}
	}
}
