package steering

import (
	"time"

	"github.com/foxtailtack/foxtailtack/internal/policy"
)

const (
	// linkShare is the share of a link's capacity that forwarded requests of this deployment may use. The links are shared with
	// other traffic, and responses and control messages need capacity too.
	linkShare = 0.5
	// linkBurst is the time for which unused link capacity accumulates. It determines the burst size.
	linkBurst   = 250 * time.Millisecond
	bitsPerByte = 8
	bitsPerMbit = 1e6
)

// LinkBudget limits the rate of bytes that this host sends to other regions. Each host of the region gets an equal share of the
// link, because hosts do not share a counter. It is not safe for concurrent use.
type LinkBudget struct {
	buckets map[string]*bucket
}

// bucket is a token bucket in bytes. One request may take it below zero, so that a request larger than the burst can be sent.
type bucket struct {
	rate, burst, tokens float64
	updated             time.Time
}

// NewLinkBudget returns a budget without limits.
func NewLinkBudget() *LinkBudget {
	return &LinkBudget{buckets: make(map[string]*bucket)}
}

// Configure sets the rates for a host of the region from a policy. The buckets keep their tokens, up to the new burst.
func (l *LinkBudget) Configure(snapshot *policy.Snapshot, region string) {
	hosts := hostsInRegion(snapshot, region)
	rates := make(map[string]float64)
	for _, d := range snapshot.Document.Distances {
		other, found := regionAtOtherEnd(d, region)
		if found && d.LinkMbps > 0 && hosts > 0 {
			rates[other] = d.LinkMbps * bitsPerMbit / bitsPerByte * linkShare / float64(hosts)
		}
	}
	for other := range l.buckets {
		if _, limited := rates[other]; !limited {
			delete(l.buckets, other)
		}
	}
	for other, rate := range rates {
		l.setRate(other, rate)
	}
}

func (l *LinkBudget) setRate(region string, rate float64) {
	burst := rate * linkBurst.Seconds()
	b := l.buckets[region]
	if b == nil {
		b = &bucket{tokens: burst}
		l.buckets[region] = b
	}
	b.rate, b.burst, b.tokens = rate, burst, min(b.tokens, burst)
}

// Allow reports whether the number of bytes may be sent to the region now, and takes them from the budget if so. Regions without
// a known link capacity have no limit.
func (l *LinkBudget) Allow(region string, bytes int, now time.Time) bool {
	b := l.buckets[region]
	if b == nil {
		return true
	}
	b.refill(now)
	if b.tokens <= 0 {
		return false
	}
	b.tokens -= float64(bytes)
	return true
}

func (b *bucket) refill(now time.Time) {
	if elapsed := now.Sub(b.updated); !b.updated.IsZero() && elapsed > 0 {
		b.tokens = min(b.burst, b.tokens+b.rate*elapsed.Seconds())
	}
	b.updated = now
}

// regionAtOtherEnd returns the region at the other end of the link from region, or false if the link does not connect region to
// another region.
func regionAtOtherEnd(link policy.Distance, region string) (string, bool) {
	switch {
	case link.A == link.B:
		return "", false
	case link.A == region:
		return link.B, true
	case link.B == region:
		return link.A, true
	}
	return "", false
}

func hostsInRegion(snapshot *policy.Snapshot, region string) int {
	count := 0
	for i := range snapshot.Document.Hosts {
		if snapshot.Region(snapshot.Document.Hosts[i].FailureDomain) == region {
			count++
		}
	}
	return count
}
