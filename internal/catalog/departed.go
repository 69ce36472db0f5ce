package catalog

import "time"

const (
	// departedTTL is the time for which a removed server is remembered. A heartbeat that a partition holds up is delivered once TCP sends
	// it again; Linux gives a connection up after about 15 minutes without an acknowledgement.
	departedTTL = 20 * time.Minute
	// maxDeparted bounds the removed servers that are remembered, a few releases of the largest deployment.
	maxDeparted = 8192
)

// departedServer is the latest known heartbeat of a removed server.
type departedServer struct {
	id          string
	incarnation Incarnation
	sequence    uint64
	removedAt   time.Time
}

// departedServers remembers removed servers, so that heartbeats of theirs that reach the store late can be distinguished from those
// of servers that are alive.
type departedServers struct {
	byID map[string]departedServer
	// order holds the removals by time. A server that was removed again has several.
	order []departedServer
}

// add records the removal of a server. A server without a start time is not remembered: after a restart under the same id it counts its
// heartbeats from the beginning, and nothing else tells that it was restarted.
func (d *departedServers) add(s *Server, now time.Time) {
	if s.Incarnation == 0 {
		return
	}
	removed := departedServer{s.ID, s.Incarnation, s.Sequence, now}
	if d.byID == nil {
		d.byID = map[string]departedServer{}
	}
	d.byID[s.ID] = removed
	d.order = append(d.order, removed)
	for len(d.order) > maxDeparted || now.Sub(d.order[0].removedAt) > departedTTL {
		if oldest := d.order[0]; d.byID[oldest.id] == oldest {
			delete(d.byID, oldest.id)
		}
		d.order = d.order[1:]
	}
}

// latest returns the latest known heartbeat of a removed server. It returns false if the server is not remembered.
func (d *departedServers) latest(id string) (departedServer, bool) {
	removed, ok := d.byID[id]
	return removed, ok
}
