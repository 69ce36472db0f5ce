package catalog

import (
	"slices"
	"time"
)

const (
	// departedTTL is the time for which a removed server is remembered. A heartbeat that a partition holds up is delivered once TCP sends
	// it again; Linux gives a connection up after about 15 minutes without an acknowledgement.
	departedTTL = 20 * time.Minute
	// maxDeparted bounds the removals that are remembered, a few releases of the largest deployment. maxDepartedBytes bounds their size:
	// other hosts write the ids of servers, which may be long, and a host sends all removals in one response.
	maxDeparted      = 8192
	maxDepartedBytes = 512 << 10
	// removalBytes is the size of a Removal without its id.
	removalBytes = 48
)

// heartbeat identifies a heartbeat of a server.
type heartbeat struct {
	incarnation Incarnation
	sequence    uint64
}

func (s *Server) heartbeat() heartbeat { return heartbeat{s.Incarnation, s.Sequence} }

// isAfter reports whether a heartbeat was sent after another one of the same server.
func (h heartbeat) isAfter(other heartbeat) bool {
	return h.incarnation > other.incarnation || h.incarnation == other.incarnation && h.sequence > other.sequence
}

// departedServer is the latest known heartbeat of a removed server.
type departedServer struct {
	heartbeat
	id        string
	removedAt time.Time
}

// departedServers remembers removed servers, so that heartbeats of theirs that reach the store late can be distinguished from those
// of servers that are alive.
type departedServers struct {
	byID map[string]departedServer
	// order holds the removals by time. A server that was removed again has several.
	order []departedServer
	// bytes is the size of order.
	bytes int
	// discardedUntil is the time of the latest removal that was discarded before departedTTL because of the bounds.
	discardedUntil time.Time
}

// add records the removal of a server. A server without a start time is not remembered: after a restart under the same id it counts its
// heartbeats from the beginning, and nothing else tells that it was restarted.
func (d *departedServers) add(s *Server, now time.Time) {
	if s.Incarnation == 0 {
		return
	}
	latest := s.heartbeat()
	if known, ok := d.byID[s.ID]; ok && known.isAfter(latest) {
		latest = known.heartbeat
	}
	d.insert(departedServer{latest, s.ID, now})
	d.discard(now)
}

// merge records removals that another host knows. Heartbeats that are not later than the known ones are left out.
func (d *departedServers) merge(removals []departedServer, now time.Time) {
	for _, r := range removals {
		if known, ok := d.byID[r.id]; (!ok || r.isAfter(known.heartbeat)) && r.incarnation != 0 && now.Sub(r.removedAt) <= departedTTL {
			d.insert(r)
		}
	}
	slices.SortStableFunc(d.order, func(a, b departedServer) int { return a.removedAt.Compare(b.removedAt) })
	d.discard(now)
}

func (d *departedServers) insert(removed departedServer) {
	if d.byID == nil {
		d.byID = map[string]departedServer{}
	}
	d.byID[removed.id] = removed
	d.order = append(d.order, removed)
	d.bytes += len(removed.id) + removalBytes
}

// discard forgets the oldest removals until the rest are within the bounds.
func (d *departedServers) discard(now time.Time) {
	for len(d.order) > 0 {
		oldest := d.order[0]
		expired := now.Sub(oldest.removedAt) > departedTTL
		if !expired && len(d.order) <= maxDeparted && d.bytes <= maxDepartedBytes {
			return
		}
		if d.byID[oldest.id] == oldest {
			delete(d.byID, oldest.id)
			if !expired {
				d.discardedUntil = oldest.removedAt
			}
		}
		d.order = d.order[1:]
		d.bytes -= len(oldest.id) + removalBytes
	}
}

// latest returns the latest known heartbeat of a removed server. It returns false if the server is not remembered.
func (d *departedServers) latest(id string) (departedServer, bool) {
	removed, ok := d.byID[id]
	return removed, ok
}

// between returns the remembered servers that were removed between two times.
func (d *departedServers) between(from, to time.Time) []departedServer {
	var list []departedServer
	for _, r := range d.order {
		if d.byID[r.id] == r && !r.removedAt.Before(from) && !r.removedAt.After(to) {
			list = append(list, r)
		}
	}
	return list
}
