package placement

import "github.com/foxtailtack/foxtailtack/internal/catalog"

// splitter distributes the requests of a route over its services by smooth weighted round-robin, which keeps the proportions over
// short periods too: each request adds every weight to the credit of its service and goes to the service with the highest credit.
type splitter struct {
	version catalog.Version
	credits []int
}

// next returns the service of the next request.
func (s *splitter) next(route *catalog.Route, version catalog.Version) string {
	if s.version != version || len(s.credits) != len(route.Targets) {
		s.version, s.credits = version, make([]int, len(route.Targets))
	}
	total, best := 0, 0
	for i, target := range route.Targets {
		s.credits[i] += target.Weight
		total += target.Weight
		if s.credits[i] > s.credits[best] {
			best = i
		}
	}
	s.credits[best] -= total
	return route.Targets[best].Service
}
