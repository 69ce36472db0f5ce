package placement

import (
	"time"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
)

const (
	// reliefServers is the number of further servers that may get requests for an object while its preferred server is busy. With
	// more of them, the object displaces other objects on these servers under high load.
	reliefServers = 1
	// expectedReuse is the number of requests that are expected to find an object warm after its first, slow request. A copy of
	// the object in the own region is worthwhile if it saves more network time over that many requests than its first request
	// costs. Under load, copies displace each other: with a value of 10, servers of the operators' larger deployments got up to
	// 60 objects within four seconds and kept 33 of them warm.
	expectedReuse = 5
)

// copyLimits limit the number of servers on which an object is kept warm. Tests compare them with those of earlier versions.
type copyLimits struct{ reliefServers, expectedReuse, expectedHomeReuse, objectsPerServer int }

// copyPlacement states in which regions an object is kept warm.
type copyPlacement int

const (
	// singleCopy is one preferred server among those of all regions.
	singleCopy copyPlacement = iota
	// copyInOwnRegion is one preferred server in the region of the callers.
	copyInOwnRegion
	// copyInEachRegion is one preferred server in each region.
	copyInEachRegion
)

// copyPlacement returns in which regions the object of a request is kept warm.
func (t *Table) copyPlacement(r *Request, usable []*catalog.ServerEntry) copyPlacement {
	switch {
	case t.keepsWorkInRegion(r.Service, t.region()):
		return copyInOwnRegion
	case t.copiesPayInEachRegion(r, usable) && t.objectsFit(r.Service, t.region()):
		return copyInEachRegion
	default:
		return singleCopy
	}
}

// candidate is a server that a request may be sent to.
type candidate struct {
	entry *catalog.ServerEntry
	// preferred is true for the servers to which the hosts of the server's region send requests for the object, so that it is
	// warm there.
	preferred bool
}

// candidates returns the servers that may get a request. Each object has few copies, because its first request on a server is
// slow and displaces other objects. Regions have a copy each if the round trip between them is long compared with such a request.
func (t *Table) candidates(r *Request, usable []*catalog.ServerEntry, copies copyPlacement) []candidate {
	if copies == singleCopy {
		weights := t.regionWeights(r.Service)
		order := topScored(usable, t.copies.reliefServers+1, func(s *catalog.ServerEntry) float64 {
			return weightedScore(score(r.Object, s.ID), weights[t.regions[s.FailureDomain]])
		})
		return preferFirst(order, t.copies.reliefServers+1)
	}
	own, far := t.splitByRegion(topScored(usable, len(usable), func(s *catalog.ServerEntry) uint64 { return score(r.Object, s.ID) }))
	if copies == copyInOwnRegion {
		list := preferFirst(own, t.copies.reliefServers+1)
		for _, entry := range far[:min(1, len(far))] {
			list = append(list, candidate{entry, false})
		}
		return list
	}
	list := preferFirst(own, t.copies.reliefServers)
	for _, entry := range far {
		list = append(list, candidate{entry, true})
	}
	return list
}

// splitByRegion returns the servers of the own region and the first one of each other region, in the given order.
func (t *Table) splitByRegion(order []*catalog.ServerEntry) (own, far []*catalog.ServerEntry) {
	seen := map[string]bool{}
	for _, entry := range order {
		region := t.regions[entry.FailureDomain]
		switch {
		case region == t.region():
			own = append(own, entry)
		case !seen[region]:
			seen[region] = true
			far = append(far, entry)
		}
	}
	return own, far
}

func preferFirst(order []*catalog.ServerEntry, count int) []candidate {
	list := make([]candidate, min(count, len(order)))
	for i := range list {
		list[i] = candidate{order[i], i == 0}
	}
	return list
}

// region returns the region of this host.
func (t *Table) region() string { return t.regions[t.domain] }

// copiesPayInEachRegion reports whether the round trip to the farthest region costs more than the first request of an object. The
// SLO of the route stands for the cost of a first request: all hosts know it from the start and get the same result.
func (t *Table) copiesPayInEachRegion(r *Request, usable []*catalog.ServerEntry) bool {
	var farthest time.Duration
	for _, entry := range usable {
		farthest = max(farthest, t.roundTrip(entry.FailureDomain))
	}
	return time.Duration(t.copies.expectedReuse)*farthest > r.Route.SLO
}
