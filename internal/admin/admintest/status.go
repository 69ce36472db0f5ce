package admintest

import (
	"github.com/foxtailtack/foxtailtack/internal/admin"
	"github.com/foxtailtack/foxtailtack/internal/lookup"
	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/policy"
)

// Status is a fake admin.Status. It reports each host of the accepted policy as serving with usableSlots slots for each
// service, and each backend server of the failure domain as ready or drained. It also implements lookup.View.
type Status struct {
	Configuration *Configuration
	FailureDomain string
}

// usableSlots is the number of usable slots of each host for each service.
const usableSlots = 3

// document returns the accepted document, or an empty one.
func (s Status) document() *policy.Document {
	if snapshot := s.Configuration.Snapshot(); snapshot != nil {
		return snapshot.Document
	}
	return &policy.Document{}
}

// Hosts implements admin.Status.
func (s Status) Hosts() []admin.HostStatus {
	var list []admin.HostStatus
	snapshot := s.Configuration.Snapshot()
	for _, h := range s.document().Hosts {
		status := admin.HostStatus{
			ID: h.ID, FailureDomain: h.FailureDomain, Region: snapshot.Region(h.FailureDomain), State: "serving",
			Incarnation: 1, Reachable: true, Retired: h.Retired, ConfigVersion: snapshot.Version, LastMessageAgeMs: 400,
		}
		for _, service := range s.document().Services {
			status.Services = append(status.Services, admin.ServiceHeadroom{Service: service.Name, Usable: usableSlots})
		}
		list = append(list, status)
	}
	return list
}

// Slots implements admin.Status.
func (s Status) Slots() []admin.SlotStatus {
	var list []admin.SlotStatus
	for _, b := range s.document().BackendServers {
		if b.FailureDomain == s.FailureDomain {
			list = append(list, admin.SlotStatus{BackendServer: b.ID, Service: b.Service, Total: b.Slots, Usable: b.Slots, InUse: 1})
		}
	}
	return list
}

// BackendServers implements admin.Status.
func (s Status) BackendServers() []admin.BackendServerStatus {
	var list []admin.BackendServerStatus
	snapshot := s.Configuration.Snapshot()
	for _, b := range s.document().BackendServers {
		if b.FailureDomain != s.FailureDomain {
			continue
		}
		status := admin.BackendServerStatus{
			ID: b.ID, Service: b.Service, FailureDomain: b.FailureDomain, Address: b.Address.String(),
			Slots: b.Slots, Connections: 2, State: "ready", Load: 0.25, LoadAgeMs: 900,
		}
		if snapshot.Drained(b.ID) {
			status.State, status.Notice = "drained", "operator"
		}
		list = append(list, status)
	}
	return list
}

// Generation implements lookup.View.
func (s Status) Generation() uint64 { return 1 }

// Overflow implements lookup.View.
func (s Status) Overflow(string, string) float64 { return 0 }

// Host implements lookup.View.
func (s Status) Host(string, string) lookup.HostView {
	return lookup.HostView{State: membership.Serving, Incarnation: 1, Reachable: true, Usable: usableSlots, Weight: 1}
}
