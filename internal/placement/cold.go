package placement

import (
	"time"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
)

// coldOwners is the number of hosts that share the limit of a cold backend server. With one request at once for each of
// them, the limit is exceeded by at most this number in any second, which stays below the slack that the platform leaves.
const coldOwners = 4

// coldAllowance bounds the requests of this host to a cold backend server. It answers the load pattern of servers that come
// back together and are pushed over again by their usual share of the work.
type coldAllowance struct {
	tokens  float64
	updated time.Time
}

// take reports whether one more request may be sent at a rate, in requests a second.
func (c *coldAllowance) take(rate float64, now time.Time) bool {
	if !c.available(rate, now) {
		return false
	}
	c.tokens--
	return true
}

func (c *coldAllowance) available(rate float64, now time.Time) bool {
	if rate <= 0 {
		return false
	}
	if c.updated.IsZero() {
		c.tokens = 1
	} else {
		c.tokens = min(1, c.tokens+rate*now.Sub(c.updated).Seconds())
	}
	c.updated = now
	return c.tokens >= 1
}

// coldRate returns the requests a second that this host may send to a cold server.
func (t *Table) coldRate(entry *catalog.ServerEntry, service *catalog.Service) float64 {
	if !owns(t.hosts, t.self, entry.ID, coldOwners) {
		return 0
	}
	return service.ColdPerSecond / float64(min(coldOwners, max(1, len(t.hosts))))
}
