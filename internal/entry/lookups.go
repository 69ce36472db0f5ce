package entry

import (
	"net/http"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/lookup"
	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// lookupStartupDelay is the time after the start during which a host that is still joining rejects look-ups. It has received no
// heartbeats of its neighbours yet, which takes up to a second, and would direct callers to the first region that it learns of.
const lookupStartupDelay = membership.UnreachableAfter

// serveLookup responds to a look-up once this host knows the state of its failure domain, and rejects it before.
func (e *Entry) serveLookup(w http.ResponseWriter, r *http.Request) {
	if e.isWaitingForPeers(time.Now()) {
		result.Write(w, result.Fail(result.NotReady, "the entry host has just started; ask another one").After(time.Second))
		return
	}
	lookup.Handler(e.lookupResponder, e.view)(w, r)
}

func (e *Entry) isWaitingForPeers(now time.Time) bool {
	return now.Sub(e.started) < lookupStartupDelay && !e.cluster.hasJoined()
}

// hasJoined reports whether this host has joined. It stays true while the host is leaving.
func (c *cluster) hasJoined() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.publishedState != membership.Joining
}
