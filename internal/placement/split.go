package placement

import "github.com/foxtailtack/foxtailtack/internal/catalog"

// splitter deals the requests of a route to its services in proportion to their weights, also over short spans: it adds
// each weight to the credit of its service and takes the highest credit.
type splitter struct {
	version catalog.Version
	credit  []int
}

// next returns the service of the next request.
func (s *splitter) next(route *catalog.Route, version catalog.Version) string {
	if s.version != version || len(s.credit) != len(route.Targets) {
		s.version, s.credit = version, make([]int, len(route.Targets))
	}
	total, best := 0, 0
	for i, target := range route.Targets {
		s.credit[i] += target.Weight
		total += target.Weight
		if s.credit[i] > s.credit[best] {
			best = i
		}
	}
	s.credit[best] -= total
	return route.Targets[best].Service
}
