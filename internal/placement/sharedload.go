package placement

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
)

// A host of a large deployment sees a hundredth of the responses of a server, so its latest load report of that server is seconds old. With
// three slots a server, the queue has changed several times since. Hosts of a failure domain therefore share the reports that they
// receive. A host that gets none decides from its own, as before.

const (
	// maxSharedReports is the number of reports in a message.
	maxSharedReports = 64
	// maxSharedAge is the age from which the report of another host is not used: the load has decayed to the average by then.
	maxSharedAge = reportDecay
	// maxReportedRequests limits the number of requests in a report of another host.
	maxReportedRequests = 1 << 16
)

// ServerHash identifies a server in the messages between hosts.
type ServerHash uint32

// hashServer returns the hash of a server's id. Two servers of a deployment with thousands of them may share a hash; reports for such a hash
// are not used.
func hashServer(id string) ServerHash { return ServerHash(xxhash.Sum64String(id)) }

// SharedReport is the load that a server reported to a host.
type SharedReport struct {
	Server ServerHash
	// Requests is the number of running and waiting requests.
	Requests uint32
	// SpeedPercent is the time that work takes on the server's machine, 100 is normal. It is zero if the server does not report it.
	SpeedPercent uint32
	// AgeMs is the age of the report in milliseconds when the message is sent.
	AgeMs uint32
}

// sharedLoad holds what the hosts of a failure domain share about the load of servers.
type sharedLoad struct {
	// enabled is true if the configuration calls for it.
	enabled bool
	// unsent holds the servers with reports that were received since the latest message, oldest first.
	unsent []*server
	// servers holds the servers of the view by hash, with nil for a hash that several of them have.
	servers map[ServerHash]*server
}

// configure applies a new view.
func (l *sharedLoad) configure(view *catalog.View, stateOf func(*catalog.ServerEntry) *server) {
	l.enabled = view.Configuration != nil && view.Configuration.PlacesByCost()
	if !l.enabled {
		*l = sharedLoad{}
		return
	}
	l.servers = make(map[ServerHash]*server, len(view.Servers))
	for id, entry := range view.Servers {
		hash := hashServer(id)
		if _, taken := l.servers[hash]; taken {
			l.servers[hash] = nil
			continue
		}
		l.servers[hash] = stateOf(entry)
	}
}

// add records that a server has a new report for other hosts.
func (l *sharedLoad) add(s *server) {
	if !l.enabled || s.unsentReport {
		return
	}
	if len(l.unsent) == maxSharedReports {
		l.unsent[0].unsentReport = false
		l.unsent = append(l.unsent[:0], l.unsent[1:]...)
	}
	s.unsentReport = true
	l.unsent = append(l.unsent, s)
}

// TakeReports returns the reports of servers that this host has received since the latest call, for the hosts of its failure domain.
func (t *Table) TakeReports(now time.Time) []SharedReport {
	list := make([]SharedReport, 0, len(t.shared.unsent))
	for _, s := range t.shared.unsent {
		s.unsentReport = false
		if age := now.Sub(s.ownReport.at); age >= 0 && age < maxSharedAge {
			list = append(list, SharedReport{Server: hashServer(s.entry.ID), Requests: uint32(s.ownReport.requests), SpeedPercent: uint32(100 * s.ownReport.speed), AgeMs: uint32(age.Milliseconds())})
		}
	}
	t.shared.unsent = t.shared.unsent[:0]
	return list
}

// ReceiveReports records the reports that another host has received. They are weaker than own reports: one that is not later than the
// latest known report of its server is not used.
func (t *Table) ReceiveReports(reports []SharedReport, now time.Time) {
	for _, r := range reports[:min(len(reports), maxSharedReports)] {
		s := t.shared.servers[r.Server]
		at := now.Add(-time.Duration(r.AgeMs) * time.Millisecond)
		if s == nil || r.Requests > maxReportedRequests || now.Sub(at) >= maxSharedAge || !at.After(s.load.reported) {
			continue
		}
		t.reportSpeed(s, float64(r.SpeedPercent)/100, at)
		t.averageLoadFor(s.entry).report(s.load.report(int(r.Requests), at)/float64(s.entry.Slots), now)
	}
}

// ownReport is the latest report that this host received from a server itself.
type ownReport struct {
	requests int
	// speed is the speed of the server's machine, zero if it was not reported.
	speed float64
	at    time.Time
}
