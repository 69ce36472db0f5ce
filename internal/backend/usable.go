package backend

import (
	"time"

	"github.com/foxtailtack/foxtailtack/internal/slots"
)

// Usable returns how many of this host's slots of the service are on backend servers that take work, limited by their ramps. It
// counts the slots from which Pick would choose if no slot were in use.
func (r *Registry) Usable(service string, available []slots.Availability, now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	healthy, unhealthy := 0, 0
	for _, a := range available {
		s := r.servers[a.BackendServer]
		if s == nil || s.server.Service != service || a.Usable <= 0 || s.ejection.ejected || s.updateLeaving(now) {
			continue
		}
		// Requests that still run on slots that are no longer allowed count against the allowed slots.
		allowed := max(s.ramp.allowed(a.Usable, now), 0)
		if s.unhealthy {
			unhealthy += allowed
		} else {
			healthy += allowed
		}
	}
	if healthy > 0 {
		return healthy
	}
	return unhealthy
}
