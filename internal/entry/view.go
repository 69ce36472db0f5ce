package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/lookup"
	"github.com/foxtailtack/foxtailtack/internal/membership"
)

// view is the known state of all entry hosts, for look-ups. It is rebuilt from membership at each refresh and policy change,
// so that a look-up costs only a map read.
type view struct {
	hosts      atomic.Pointer[map[string]knownHost]
	generation atomic.Uint64
	// overflow returns the share of a failure domain's callers that look-ups direct to its neighbours.
	overflow func(failureDomain, service string) float64
	// mu serializes rebuilds.
	mu sync.Mutex
}

// knownHost is the last known state of one entry host.
type knownHost struct {
	state       membership.State
	incarnation membership.Incarnation
	usable      map[string]int
}

func newView(overflow func(failureDomain, service string) float64) *view {
	v := &view{overflow: overflow}
	v.hosts.Store(&map[string]knownHost{})
	return v
}

// rebuild replaces the view by the members of the own failure domain and the summaries of the others. It increments the
// generation only if the response to a look-up may change.
func (v *view) rebuild(own []membership.Member, remote []membership.Summary) {
	next := map[string]knownHost{}
	add := func(m membership.Member) {
		host := knownHost{state: m.State, incarnation: m.Incarnation, usable: make(map[string]int, len(m.Headroom))}
		for _, h := range m.Headroom {
			host.usable[h.Service] = h.Usable
		}
		next[m.ID] = host
	}
	for _, m := range own {
		add(m)
	}
	for _, s := range remote {
		for _, m := range s.Members {
			add(m)
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if sameHosts(*v.hosts.Load(), next) {
		return
	}
	v.hosts.Store(&next)
	v.generation.Add(1)
}

func sameHosts(a, b map[string]knownHost) bool {
	if len(a) != len(b) {
		return false
	}
	for id, x := range a {
		y, ok := b[id]
		if !ok || x.state != y.state || x.incarnation != y.incarnation || !sameCounts(x.usable, y.usable) {
			return false
		}
	}
	return true
}

func sameCounts(a, b map[string]int) bool {
	if len(a) != len(b) {
		return false
	}
	for name, n := range a {
		if b[name] != n {
			return false
		}
	}
	return true
}

// Generation implements lookup.View.
func (v *view) Generation() uint64 { return v.generation.Load() }

// Host implements lookup.View.
func (v *view) Host(id, service string) lookup.HostView {
	h, ok := (*v.hosts.Load())[id]
	if !ok {
		return lookup.HostView{}
	}
	return lookup.HostView{State: h.state, Incarnation: h.incarnation, Reachable: true, Usable: h.usable[service], Weight: 1}
}

// Overflow implements lookup.View.
func (v *view) Overflow(failureDomain, service string) float64 {
	return v.overflow(failureDomain, service)
}

// refreshView updates the look-up view, the router and the registry from the known members.
func (e *Entry) refreshView(now time.Time) {
	own, remote := e.cluster.members(now)
	e.view.rebuild(own, remote)
	e.router.update(own, remote, e.capacity.headroom(), now)
	e.registry.SetHosts(e.settings.HostID, memberIDs(own))
}

func memberIDs(members []membership.Member) []string {
	ids := make([]string, len(members))
	for i, m := range members {
		ids[i] = m.ID
	}
	return ids
}
