package placement

import "time"

// Notice is what a backend server reports about itself in a response.
type Notice struct {
	// RateLimit is the number of requests per second that the server takes from all hosts together, if HasRateLimit is true.
	// Otherwise the server sets no limit, unless RateLimitUnknown says that its limit could not be decoded.
	RateLimit        float64
	HasRateLimit     bool
	RateLimitUnknown bool
	// Leaving is true if the server is about to end.
	Leaving bool
	// RetryAfter is the time for which a server that rejected a request accepts no more from this host, zero if it stated none.
	RetryAfter time.Duration
}

// ServerChange is a change of what is known of a server, for the log of this host.
type ServerChange struct {
	// Event is the name of the log event.
	Event string
	// RateLimit is the limit in requests per second that the server named, zero if the change does not concern it.
	RateLimit float64
	// For is the time for which the change holds, zero if it is not limited.
	For time.Duration
}

// Events of changes.
const (
	eventServerEjected     = "server_ejected"
	eventServerLimited     = "server_limited"
	eventServerUnlimited   = "server_unlimited"
	eventServerLeaving     = "server_leaving"
	eventServerUnavailable = "server_unavailable"
)

// noticeState is what a server has reported about itself.
type noticeState struct {
	// isSet is true once the server reported anything that affects the choice of servers.
	isSet bool
	// rateLimit is the limit in requests per second that the server names, limited is false if it names none. limitedAt is the time of
	// the latest response that named it.
	rateLimit float64
	limited   bool
	limitedAt time.Time
	// leaving is true once the server announced that it is leaving. Nothing undoes it: a server that stays in service is started again.
	leaving bool
	// unavailableUntil is the end of the time for which the server accepts no requests from this host.
	unavailableUntil time.Time
}

// missingEntryHold is the time for which the notices of a server are kept while its entry is missing. An entry that lapsed in an outage of
// the store is back seconds after its end.
const missingEntryHold = time.Minute

// keepsNotice reports whether the notices of a server whose entry is missing are still kept.
func (s *server) keepsNotice(now time.Time) bool {
	return s.notice.isSet && now.Sub(s.missingSince) < missingEntryHold
}

// observe records the notice of a response to a request that was sent at the time sent, and returns the changes. A response without a
// limit ends the limit only if its request was sent later than the limit became known, since responses overtake each other.
func (s *noticeState) observe(n *Notice, sent, now time.Time) []ServerChange {
	var changes []ServerChange
	switch {
	case n.HasRateLimit:
		if !s.limited || s.rateLimit != n.RateLimit {
			changes = append(changes, ServerChange{Event: eventServerLimited, RateLimit: n.RateLimit})
		}
		s.limited, s.rateLimit, s.limitedAt = true, n.RateLimit, now
	case s.limited && !n.RateLimitUnknown && sent.After(s.limitedAt):
		s.limited = false
		changes = append(changes, ServerChange{Event: eventServerUnlimited, RateLimit: s.rateLimit})
	}
	if n.Leaving && !s.leaving {
		s.leaving = true
		changes = append(changes, ServerChange{Event: eventServerLeaving})
	}
	if until := now.Add(n.RetryAfter); n.RetryAfter > 0 && until.After(s.unavailableUntil) {
		s.unavailableUntil = until
		changes = append(changes, ServerChange{Event: eventServerUnavailable, For: n.RetryAfter})
	}
	s.isSet = s.isSet || len(changes) > 0
	return changes
}
