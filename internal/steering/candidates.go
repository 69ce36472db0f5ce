package steering

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/rank"
)

// Candidates returns the hosts that may take a request of the service and rank, best first: the own failure domain, the
// own region, then other regions by delay, and last the hosts whose latest report is older than staleAfter. The slice is
// valid until the next call.
func (p *Planner) Candidates(service string, r rank.Rank, now time.Time) []Candidate {
	return p.candidates("", service, r, now)
}

// CandidatesIn is like Candidates for the hosts of one region. It is for requests that a planned shift moves to that region.
func (p *Planner) CandidatesIn(region, service string, r rank.Rank, now time.Time) []Candidate {
	return p.candidates(region, service, r, now)
}

// candidates returns the candidates of a region, or of all regions if region is empty.
func (p *Planner) candidates(region, service string, r rank.Rank, now time.Time) []Candidate {
	p.chosen = p.chosen[:0]
	groups := p.groupsOf(service)
	for _, stale := range []bool{false, true} {
		for _, g := range groups {
			if len(p.chosen) >= DefaultMaxCandidates {
				return p.chosen
			}
			p.collectPool(g, region, service, r, stale, now)
			p.pickCandidates(g)
		}
	}
	return p.chosen
}

// weightedHost is a host with its weight in the random choice: its headroom, discounted by the age of the report.
type weightedHost struct {
	host   *hostState
	weight float64
}

// collectPool fills the pool with the hosts of a group that have headroom and whose reports are stale or current as requested.
func (p *Planner) collectPool(g *group, region, service string, r rank.Rank, stale bool, now time.Time) {
	p.pool = p.pool[:0]
	for _, h := range g.hosts {
		if region != "" && p.snapshot.Region(h.domain) != region {
			continue
		}
		age := max(0, now.Sub(h.receivedAt))
		if h.state != membership.Serving || age >= membership.SummaryMaxAge || (age >= staleAfter) != stale {
			continue
		}
		free, known := h.free[service]
		if known && free[r] >= minFree {
			p.pool = append(p.pool, weightedHost{h, free[r] * math.Exp2(-age.Seconds()/ageHalfLife.Seconds())})
		}
	}
}

// pickCandidates moves hosts from the pool to the candidates, in random order by weight.
func (p *Planner) pickCandidates(g *group) {
	for len(p.pool) > 0 && len(p.chosen) < DefaultMaxCandidates {
		i := pickWeighted(p.pool, p.rng)
		picked := p.pool[i]
		p.pool[i] = p.pool[len(p.pool)-1]
		p.pool = p.pool[:len(p.pool)-1]
		p.chosen = append(p.chosen, Candidate{
			Host:          picked.host.id,
			FailureDomain: picked.host.domain,
			Region:        p.snapshot.Region(picked.host.domain),
			OneWay:        g.oneWay,
			Free:          picked.weight,
		})
	}
}

// pickWeighted returns a random index, with a probability proportional to the weight.
//
// Many hosts act on the same reports, which are up to some seconds old. Taking the better of two such picks sends a more than
// proportional share to the host with the most headroom, and its first choice was rejected 2 to 3 times as often
// (TestProportionalPickIsRejectedLeast).
func pickWeighted(pool []weightedHost, rng *rand.Rand) int {
	total := 0.0
	for i := range pool {
		total += pool[i].weight
	}
	remaining := rng.Float64() * total
	for i := range pool {
		remaining -= pool[i].weight
		if remaining < 0 {
			return i
		}
	}
	return len(pool) - 1
}
