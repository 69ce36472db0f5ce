package backend

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/slots"
)

// candidate is a backend server with a free slot.
type candidate struct {
	id string
	// usedShare is the used share of the slots that this host may use now.
	usedShare float64
	// reportedShare is the load share that the backend server reports; hasReport is false if there is no credible report.
	reportedShare float64
	hasReport     bool
}

// Pick chooses a backend server of the service on which this host has a free slot, or reports false if there is none. It compares
// two random candidates and takes the one with the smaller used share (power of two choices).
func (r *Registry) Pick(service string, available []slots.Availability, exclude []string, now time.Time, rng *rand.Rand) (string, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := r.candidates(service, available, exclude, now)
	if len(list) == 0 {
		return "", false
	}
	if r.options.RoundRobin {
		return r.nextRoundRobin(service, list), true
	}
	return lessLoadedOfTwo(list, rng).id, true
}

// candidates lists the backend servers that may take a request now. A server whose health endpoint returns a failure status is used
// only if the service has no healthy server in use, because the endpoint may be wrong.
func (r *Registry) candidates(service string, available []slots.Availability, exclude []string, now time.Time) []candidate {
	var healthy, unhealthy []candidate
	anyHealthy := false
	for _, a := range available {
		s := r.servers[a.BackendServer]
		if s == nil || s.server.Service != service || a.Usable <= 0 || s.ejection.ejected || s.updateLeaving(now) {
			continue
		}
		anyHealthy = anyHealthy || !s.unhealthy
		allowed := s.ramp.allowed(a.Usable, now)
		if a.InUse >= allowed || slices.Contains(exclude, a.BackendServer) {
			continue
		}
		c := candidate{id: a.BackendServer, usedShare: float64(a.InUse) / float64(allowed)}
		c.reportedShare, c.hasReport = s.load.share(a.InUse, now)
		if s.unhealthy {
			unhealthy = append(unhealthy, c)
		} else {
			healthy = append(healthy, c)
		}
	}
	if anyHealthy {
		return healthy
	}
	return unhealthy
}

// lessLoadedOfTwo returns the less loaded of two different random candidates.
func lessLoadedOfTwo(list []candidate, rng *rand.Rand) candidate {
	if len(list) == 1 {
		return list[0]
	}
	i := rng.IntN(len(list))
	j := rng.IntN(len(list) - 1)
	if j >= i {
		j++
	}
	return lessLoaded(list[i], list[j])
}

// lessLoaded returns the candidate with the smaller used share. Reported load only breaks ties.
func lessLoaded(a, b candidate) candidate {
	switch {
	case a.usedShare < b.usedShare:
		return a
	case b.usedShare < a.usedShare:
		return b
	case a.hasReport && b.hasReport && b.reportedShare < a.reportedShare:
		return b
	default:
		return a
	}
}

// nextRoundRobin returns the next candidate in the order of ids.
func (r *Registry) nextRoundRobin(service string, list []candidate) string {
	slices.SortFunc(list, func(a, b candidate) int {
		if a.id < b.id {
			return -1
		}
		return 1
	})
	r.roundRobinPosition[service]++
	return list[r.roundRobinPosition[service]%len(list)].id
}
