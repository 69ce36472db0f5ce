package placement

import (
	"time"

	"github.com/foxtailtack/foxtailtack/internal/catalog"
)

// coldSenders is the number of hosts that share the rate limit of a cold backend server. Each of them may send one request
// immediately, so the limit is exceeded by at most this number in any second, which is below the slack that the platform allows.
const coldSenders = 4

// coldRateLimiter limits the rate of requests from this host to a cold backend server. Without the limit, servers that restart
// together are overloaded again by their usual share of the requests.
type coldRateLimiter struct {
	tokens  float64
	updated time.Time
}

// take consumes a token and reports whether one more request may be sent at a rate in requests per second.
func (c *coldRateLimiter) take(rate float64, now time.Time) bool {
	if !c.available(rate, now) {
		return false
	}
	c.tokens--
	return true
}

func (c *coldRateLimiter) available(rate float64, now time.Time) bool {
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

// coldRate returns the rate in requests per second at which this host may send to a cold server.
func (t *Table) coldRate(entry *catalog.ServerEntry, service *catalog.Service) float64 {
	if !isColdSender(t.hosts, t.self, entry.ID, coldSenders) {
		return 0
	}
	return service.ColdPerSecond / float64(min(coldSenders, max(1, len(t.hosts))))
}
