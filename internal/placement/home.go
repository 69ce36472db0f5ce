package placement

import (
	"math"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
)

const (
	// minHomeCapacityRatio is the lowest ratio of a region's share of the servers to its share of the entry hosts at which requests
	// of its callers stay in the region. The number of entry hosts stands for the number of callers, which is unknown. A region
	// slightly below its share sends single requests to other regions when its servers are busy.
	minHomeCapacityRatio = 0.8
	// objectsPerServer is the number of objects per server up to which the servers of a region are assumed to keep the objects of
	// its callers warm. Servers do not report how many they keep, and part of their memory holds objects of other regions.
	objectsPerServer = 20
	// expectedHomeReuse is the number of requests that are expected to find an object warm after its first, slow request, in a region
	// that keeps its objects. Keeping them is worthwhile if it saves more network time over that many requests than the SLO, which
	// stands for the first request: all hosts know the SLO from the start and get the same result.
	expectedHomeReuse = 10
	// workingSetSpan is a period in which most objects in use are requested at least once.
	workingSetSpan = 10 * time.Second
	// deviationFactor is the number of standard deviations by which the number of objects is underestimated, so that a small sample
	// does not make a small set look large: five in six estimates lie below the true number.
	deviationFactor = 1.5
)

// objectSample counts the requests for each object in a period, and the objects with exactly one request.
type objectSample struct {
	requests      map[string]int
	total         int
	requestedOnce int
}

// estimateObjects returns a low estimate of the number of objects in use, including objects that the sample has missed. By the
// Good-Turing estimator, the share of requests for an object with a single request estimates the share of all requests that are
// for missed objects.
func (s *objectSample) estimateObjects() float64 {
	if s.total == 0 {
		return 0
	}
	repeated := float64(s.total - s.requestedOnce)
	covered := min(float64(s.total), max(1, repeated+deviationFactor*math.Sqrt(repeated)))
	return float64(len(s.requests)) * float64(s.total) / covered
}

// workingSet samples the objects that callers of this host request, in the current period and the previous one.
type workingSet struct {
	current, previous objectSample
	currentStart      time.Time
}

func (w *workingSet) add(object string, now time.Time) {
	if w.current.requests == nil || now.Sub(w.currentStart) >= workingSetSpan {
		w.previous, w.current, w.currentStart = w.current, objectSample{requests: map[string]int{}}, now
	}
	s := &w.current
	// Further objects don't matter: maxObjects is far above the number that a region's servers can keep warm.
	if len(s.requests) >= maxObjects && s.requests[object] == 0 {
		return
	}
	s.total++
	s.requests[object]++
	switch s.requests[object] {
	case 1:
		s.requestedOnce++
	case 2:
		s.requestedOnce--
	}
}

// estimateObjects estimates the number of objects in use from the larger sample.
func (w *workingSet) estimateObjects() float64 {
	if w.previous.total > w.current.total {
		return w.previous.estimateObjects()
	}
	return w.current.estimateObjects()
}

// keepsWorkInRegion reports whether requests of a region's callers stay in the region. This is for regions with enough servers
// whose callers request objects that other regions don't use: choosing among the servers of all regions would send most of these
// requests to other regions without a benefit. If the objects don't fit into the memory of the region's servers, one copy for
// all regions is better.
func (t *Table) keepsWorkInRegion(service, region string) bool {
	c := t.capacityOf(service)
	share := c.shareOf(region)
	return share.servers > 0 && share.hosts > 0 && share.servers >= minHomeCapacityRatio*share.hosts &&
		time.Duration(t.copies.expectedHomeReuse)*t.longestRoundTrip(c) > c.shortestSLO && t.objectsFit(service, region)
}

// keepsInRegion reports whether a request stays in the region of this host.
func (t *Table) keepsInRegion(r *Request) bool {
	return r.Customer.AllowedIn(t.region()) && t.keepsWorkInRegion(r.Service, t.region())
}

// longestRoundTrip returns the round trip to the farthest server of a service.
func (t *Table) longestRoundTrip(c *capacity) time.Duration {
	var farthest time.Duration
	for domain := range c.domains {
		farthest = max(farthest, t.roundTrip(domain))
	}
	return farthest
}

// objectsFit reports whether the servers of a region can keep the objects warm that this host's callers request.
func (t *Table) objectsFit(service, region string) bool {
	servers := t.capacityOf(service).byRegion[region].servers
	return t.workingSet(service).estimateObjects() <= float64(t.copies.objectsPerServer*servers)
}

// regionWeights returns the weight of each region's servers for objects of this host's region, if that region does not have enough
// servers. Regions that keep their own requests are weighted by their spare capacity, so that all servers are equally loaded.
func (t *Table) regionWeights(service string) map[string]float64 {
	c := t.capacityOf(service)
	weights := make(map[string]float64, len(c.byRegion))
	for region := range c.byRegion {
		weights[region] = 1
		if region != t.region() && t.keepsWorkInRegion(service, region) {
			share := c.shareOf(region)
			weights[region] = max(0, share.servers-share.hosts) / share.servers
		}
	}
	return weights
}

// capacity holds the numbers of servers of a service and of entry hosts, in total and by region.
type capacity struct {
	servers, hosts int
	byRegion       map[string]regionCount
	// domains are the failure domains of the servers.
	domains map[string]bool
	// shortestSLO is the shortest SLO of the routes to the service, since these share the objects. It is zero without a route.
	shortestSLO time.Duration
}

type regionCount struct{ servers, hosts int }

// regionShare is a region's share of all servers of a service and of all hosts, 0 to 1.
type regionShare struct{ servers, hosts float64 }

func (c *capacity) shareOf(region string) regionShare {
	n := c.byRegion[region]
	return regionShare{float64(n.servers) / float64(max(1, c.servers)), float64(n.hosts) / float64(max(1, c.hosts))}
}

func (t *Table) capacityOf(service string) *capacity {
	if c := t.capacities[service]; c != nil {
		return c
	}
	c := &capacity{byRegion: map[string]regionCount{}, domains: map[string]bool{}, shortestSLO: shortestSLO(t.view.Configuration, service)}
	for _, entry := range t.view.ByService[service] {
		if entry.Draining || t.serverState(entry).notice.leaving || t.view.Evacuated[entry.FailureDomain] {
			continue
		}
		c.domains[entry.FailureDomain] = true
		region := t.regions[entry.FailureDomain]
		n := c.byRegion[region]
		n.servers++
		c.byRegion[region] = n
		c.servers++
	}
	for _, h := range t.view.Hosts {
		n := c.byRegion[h.Region]
		n.hosts++
		c.byRegion[h.Region] = n
		c.hosts++
	}
	t.capacities[service] = c
	return c
}

func shortestSLO(configuration *catalog.Configuration, service string) time.Duration {
	var least time.Duration
	if configuration == nil {
		return least
	}
	for _, routes := range configuration.Routes {
		for _, route := range routes {
			for _, target := range route.Targets {
				if target.Service == service && (least == 0 || route.SLO < least) {
					least = route.SLO
				}
			}
		}
	}
	return least
}

func (t *Table) workingSet(service string) *workingSet { return getOrCreate(t.workingSets, service) }
