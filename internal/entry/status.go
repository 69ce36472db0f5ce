package entry

import (
	"slices"
	"strings"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/admin"
	"github.com/foxtailtack/foxtailtack/internal/backend"
	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
)

// Hosts implements admin.Status.
func (e *Entry) Hosts() []admin.HostStatus {
	snapshot := e.config.Snapshot()
	if snapshot == nil {
		return nil
	}
	now := time.Now()
	known := e.knownMembers(now)
	var list []admin.HostStatus
	for i := range snapshot.Document.Hosts {
		h := &snapshot.Document.Hosts[i]
		status := admin.HostStatus{
			ID:               h.ID,
			FailureDomain:    h.FailureDomain,
			Region:           snapshot.Region(h.FailureDomain),
			State:            "unknown",
			Retired:          h.Retired,
			LastMessageAgeMs: -1,
		}
		if m, ok := known[h.ID]; ok {
			fillHostStatus(&status, m)
			status.LastMessageAgeMs = e.cluster.lastReceivedAgeMs(h.ID, now)
		}
		list = append(list, status)
	}
	slices.SortFunc(list, func(a, b admin.HostStatus) int { return strings.Compare(a.ID, b.ID) })
	return list
}

func (e *Entry) knownMembers(now time.Time) map[string]membership.Member {
	own, remote := e.cluster.members(now)
	known := map[string]membership.Member{}
	for _, m := range own {
		known[m.ID] = m
	}
	for _, s := range remote {
		for _, m := range s.Members {
			known[m.ID] = m
		}
	}
	return known
}

func fillHostStatus(status *admin.HostStatus, m membership.Member) {
	status.State = stateNames[m.State]
	status.Incarnation = uint64(m.Incarnation)
	status.Reachable = true
	status.ConfigVersion = m.ConfigVersion
	for _, h := range m.Headroom {
		status.Services = append(status.Services, admin.ServiceHeadroom{
			Service:         h.Service,
			Usable:          h.Usable,
			FreeUrgent:      h.Free[rank.Urgent],
			FreeInteractive: h.Free[rank.Interactive],
			FreeDeferrable:  h.Free[rank.Deferrable],
		})
	}
	slices.SortFunc(status.Services, func(a, b admin.ServiceHeadroom) int { return strings.Compare(a.Service, b.Service) })
}

// lastReceivedAgeMs returns the milliseconds since the last update of a host of the own failure domain. It returns 0 for other
// hosts, whose updates come with the summaries of their failure domain.
func (c *cluster) lastReceivedAgeMs(id string, now time.Time) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, receivedAt, ok := c.table.LastUpdate(id); ok && id != c.self {
		return now.Sub(receivedAt).Milliseconds()
	}
	return 0
}

// Slots implements admin.Status.
func (e *Entry) Slots() []admin.SlotStatus {
	snapshot := e.config.Snapshot()
	if snapshot == nil {
		return nil
	}
	now := time.Now()
	e.cluster.mu.Lock()
	defer e.cluster.mu.Unlock()
	var list []admin.SlotStatus
	for i := range snapshot.Document.Services {
		name := snapshot.Document.Services[i].Name
		for _, a := range e.cluster.tracker.Availability(name, now) {
			list = append(list, admin.SlotStatus{
				BackendServer: a.BackendServer,
				Service:       name,
				Total:         configuredSlots(snapshot, a.BackendServer),
				Usable:        a.Usable,
				InUse:         a.InUse,
			})
		}
	}
	slices.SortFunc(list, func(a, b admin.SlotStatus) int { return strings.Compare(a.BackendServer, b.BackendServer) })
	return list
}

func configuredSlots(snapshot *policy.Snapshot, backendID string) int {
	if b := snapshot.BackendServer(backendID); b != nil {
		return b.Slots
	}
	return 0
}

// BackendServers implements admin.Status.
func (e *Entry) BackendServers() []admin.BackendServerStatus {
	snapshot := e.config.Snapshot()
	if snapshot == nil {
		return nil
	}
	var list []admin.BackendServerStatus
	for _, s := range e.registry.Statuses(time.Now()) {
		b := snapshot.BackendServer(s.ID)
		if b == nil {
			continue
		}
		list = append(list, admin.BackendServerStatus{
			ID:            b.ID,
			Service:       b.Service,
			FailureDomain: b.FailureDomain,
			Address:       b.Address.String(),
			Slots:         b.Slots,
			Connections:   e.backends.Connections(b.ID),
			State:         backendState(s, snapshot.Drained(b.ID)),
			Notice:        s.Notice,
			Load:          s.Load,
			LoadAgeMs:     s.LoadAge.Milliseconds(),
		})
	}
	return list
}

func backendState(s backend.Status, drained bool) string {
	switch {
	case drained:
		return "drained"
	case s.Leaving:
		return "leaving"
	case s.Ejected:
		return "ejected"
	case s.Unhealthy:
		return "unhealthy"
	case s.Ramping:
		return "ramping"
	default:
		return "ready"
	}
}
