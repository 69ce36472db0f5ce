package placement

import "time"

const (
	// requestDepth is the number of requests that a host may send at once to a server with a limit; depthTime is the time whose
	// requests it may send at once if these are more.
	requestDepth = 1.5
	depthTime    = 500 * time.Millisecond
	// urgentTokens and otherTokens are the tokens from which a request of the most urgent rank and of other ranks is sent. Since others
	// leave half a token, urgent requests find one sooner while there are too many requests for the limit.
	urgentTokens = 1.0
	otherTokens  = requestDepth
)

// rateLimiter limits the requests of this host to a server that names a limit. It is a token bucket whose rate is the host's share.
type rateLimiter struct {
	tokens  float64
	updated time.Time
	// share is the latest share, and key what it was computed for.
	share rateShare
	key   rateShareKey
}

// rateShareKey is what a share depends on besides the server.
type rateShareKey struct {
	limit      float64
	generation int
	// second is the time in whole seconds, which is fine enough for the turns of hosts.
	second int64
}

// update updates the share and adds the tokens since the last call.
func (l *rateLimiter) update(s *sharers, server, region string, limit float64, now time.Time) {
	if key := (rateShareKey{limit, s.generation, now.Unix()}); l.key != key {
		l.key, l.share = key, s.share(server, region, limit, now)
	}
	if l.updated.Before(l.share.since) {
		l.tokens, l.updated = 0, l.share.since
	}
	if l.share.perSecond <= 0 {
		l.tokens = 0
	} else {
		depth := max(requestDepth, l.share.perSecond*depthTime.Seconds())
		l.tokens = min(depth, l.tokens+l.share.perSecond*max(0, now.Sub(l.updated)).Seconds())
	}
	l.updated = now
}

// tokensFor returns the tokens that a request of a rank needs.
func tokensFor(rank int) float64 {
	if rank <= 0 {
		return urgentTokens
	}
	return otherTokens
}

// availableIn returns the time until there are tokens for a request of a rank: zero if it may be sent now, negative if the host has
// no share.
func (l *rateLimiter) availableIn(rank int) time.Duration {
	missing := tokensFor(rank) - l.tokens
	switch {
	case l.share.perSecond <= 0:
		return -1
	case missing <= 0:
		return 0
	default:
		return time.Duration(missing / l.share.perSecond * float64(time.Second))
	}
}

// limiterOf returns the up-to-date limiter of a server that names a limit.
func (t *Table) limiterOf(s *server, now time.Time) *rateLimiter {
	s.limiter.update(&t.sharers, s.entry.ID, t.regions[s.entry.FailureDomain], s.notice.rateLimit, now)
	return &s.limiter
}

// Confirm records the time up to which the store has confirmed the latest view.
func (t *Table) Confirm(at time.Time) { t.sharers.confirm(at) }
