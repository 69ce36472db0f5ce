package placement

import "github.com/foxtailtack/foxtailtack/internal/catalog"

const (
	// reliefServers is the number of further servers that may get requests for an object while its preferred server is busy. With
	// more of them, the object displaces other objects on these servers under high load.
	reliefServers = 1
)

// copyLimits limit the number of servers on which an object is kept warm. Tests compare them with those of earlier versions.
type copyLimits struct{ reliefServers, expectedHomeReuse, objectsPerServer int }

// candidate is a server that a request may be sent to.
type candidate struct {
	entry *catalog.ServerEntry
	// preferred is true for the servers to which the hosts of the server's region send requests for the object, so that it is
	// warm there.
	preferred bool
}

// candidates returns the servers that may get a request. Each object has one preferred server, because its first request on a server
// is slow and displaces other objects. The server is in the callers' region if that region keeps its work, and otherwise among those
// of all regions.
func (t *Table) candidates(r *Request, usable []*catalog.ServerEntry, inOwnRegion bool) []candidate {
	if !inOwnRegion {
		weights := t.regionWeights(r.Service)
		order := topScored(usable, t.copies.reliefServers+1, func(s *catalog.ServerEntry) float64 {
			return weightedScore(score(r.Object, s.ID), weights[t.regions[s.FailureDomain]])
		})
		return preferFirst(order)
	}
	own, far := t.splitByRegion(usable)
	byHash := func(s *catalog.ServerEntry) uint64 { return score(r.Object, s.ID) }
	list := preferFirst(topScored(own, t.copies.reliefServers+1, byHash))
	for _, entry := range topScored(far, 1, byHash) {
		list = append(list, candidate{entry, false})
	}
	return list
}

// splitByRegion returns the servers of the own region and the others.
func (t *Table) splitByRegion(servers []*catalog.ServerEntry) (own, far []*catalog.ServerEntry) {
	for _, entry := range servers {
		if t.isOwnRegion(entry) {
			own = append(own, entry)
		} else {
			far = append(far, entry)
		}
	}
	return own, far
}

// preferFirst returns the servers as candidates, of which the first is preferred.
func preferFirst(order []*catalog.ServerEntry) []candidate {
	list := make([]candidate, len(order))
	for i := range list {
		list[i] = candidate{order[i], i == 0}
	}
	return list
}

// region returns the region of this host.
func (t *Table) region() string { return t.regions[t.domain] }
