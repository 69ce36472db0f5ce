package grants

import (
	"time"

	"github.com/foxtailtack/foxtailtack/internal/rank"
)

const (
	// expiryMargin is the time before the end of a grant's lifetime at which the holder stops using it. It covers the
	// one-way delay between regions (55 ms in the larger deployment) and the time until a request is written, so
	// that a request spilled under a grant arrives at the target before the grant expires there.
	expiryMargin = 200 * time.Millisecond
	// renewBefore is the time before the holder stops using a grant at which it requests a new one.
	renewBefore = 600 * time.Millisecond
	// growthInterval is the shortest time between two requests for a larger grant.
	growthInterval = 200 * time.Millisecond
	// responseTimeout is the time after which a grant request without a response counts as lost.
	responseTimeout = time.Second
	// minWant and maxWant bound the number of concurrent requests that the holder requests. A grant reserves slots of the
	// target for 2 s whether it is used or not, so the holder requests few at first and more as it uses its grant.
	minWant = 2
	maxWant = 8
)

// Holder keeps the grants that this host received from other hosts. It is the requesting side of the package and not safe
// for concurrent use.
type Holder struct {
	grants map[Key]*heldGrant
	// droppedAt is the time of the last DropAll. Responses to grant requests sent before it are ignored.
	droppedAt time.Time
}

// Key identifies the target host, service and rank of a grant.
type Key struct {
	Target  string
	Service string
	Rank    rank.Rank
}

// heldGrant is the latest grant for one key and the state of the grant requests for it.
type heldGrant struct {
	count   int
	running int
	// peakRunning is the largest number of concurrent requests since the last grant request was sent.
	peakRunning int
	// responseRequestedAt is the sending time of the grant request whose response was recorded last.
	responseRequestedAt time.Time
	expiresAt           time.Time
	retryAt             time.Time
	requestedAt         time.Time
	requestPending      bool
	// insufficient is true if Take failed since the last response was recorded.
	insufficient bool
}

// NewHolder returns a Holder without grants.
func NewHolder() *Holder {
	return &Holder{grants: make(map[Key]*heldGrant)}
}

// Take takes one of the concurrent requests that the target granted, and reports whether there was one. Each successful
// Take must be followed by one Release.
func (h *Holder) Take(key Key, now time.Time) bool {
	g := h.grants[key]
	if g == nil {
		return false
	}
	if !now.Before(g.expiresAt) || g.running >= g.count {
		g.insufficient = true
		return false
	}
	g.running++
	g.peakRunning = max(g.peakRunning, g.running)
	return true
}

// Release records the end of a request that Take allowed. It must also be called if the grant has expired since.
func (h *Holder) Release(key Key) {
	if g := h.grants[key]; g != nil && g.running > 0 {
		g.running--
	}
}

// ShouldRequest reports whether a grant request should be sent to the target now, given that the caller has at least one
// request to spill. It is true if there is no live grant, if the grant expires soon, or if it was too small. It is false
// while a response is pending, and after a rejection or failure until the time for the next grant request.
func (h *Holder) ShouldRequest(key Key, now time.Time) bool {
	g := h.grants[key]
	if g == nil {
		return true
	}
	if g.requestPending && now.Sub(g.requestedAt) < responseTimeout || now.Before(g.retryAt) {
		return false
	}
	if !now.Before(g.expiresAt.Add(-renewBefore)) {
		return true
	}
	return g.insufficient && now.Sub(g.requestedAt) >= growthInterval
}

// Want returns the number of concurrent requests to ask for, which is larger than the peak since the last grant request,
// up to maxWant. It must be called before RecordRequest, which resets the peak.
func (h *Holder) Want(key Key) int {
	g := h.grants[key]
	if g == nil {
		return minWant
	}
	return min(maxWant, minWant+2*g.peakRunning)
}

// RecordRequest records that a grant request was sent.
func (h *Holder) RecordRequest(key Key, now time.Time) {
	g := h.ensureGrant(key)
	g.requestPending, g.requestedAt = true, now
	g.peakRunning = g.running
}

// RecordFailure records that a grant request got no response. The next grant request waits as long as
// after the longest rejection.
func (h *Holder) RecordFailure(key Key, now time.Time) {
	g := h.ensureGrant(key)
	g.requestPending = false
	g.retryAt = now.Add(maxRejectionLife)
}

// RecordResponse records the response to a grant request that was sent at the given time. A new grant replaces the previous
// one. A rejection leaves the previous grant valid until it expires. Responses that arrive out of order are ignored.
func (h *Holder) RecordResponse(key Key, grant Grant, sentAt time.Time) {
	if sentAt.Before(h.droppedAt) {
		return
	}
	g := h.ensureGrant(key)
	if sentAt.Before(g.responseRequestedAt) || sentAt.Before(g.requestedAt) {
		return
	}
	g.requestPending, g.insufficient, g.responseRequestedAt = false, false, sentAt
	life := min(grant.Life, MaxLife)
	if grant.Count <= 0 {
		g.retryAt = sentAt.Add(life)
		return
	}
	g.count = grant.Count
	g.expiresAt = sentAt.Add(life - expiryMargin)
	g.retryAt = time.Time{}
}

// DropAll discards every grant, for example after a pause of the process, and makes responses to grant requests sent before
// now invalid. Running requests stay counted until Release.
func (h *Holder) DropAll(now time.Time) {
	h.droppedAt = now
	for key, g := range h.grants {
		if g.running == 0 {
			delete(h.grants, key)
			continue
		}
		*g = heldGrant{running: g.running}
	}
}

// Expire deletes the keys that have no live grant, no running requests, no pending grant request and no wait before the next
// one. It must be called every few seconds.
func (h *Holder) Expire(now time.Time) {
	for key, g := range h.grants {
		unused := g.running == 0 && !now.Before(g.expiresAt) && !now.Before(g.retryAt)
		if unused && (!g.requestPending || now.Sub(g.requestedAt) >= responseTimeout) {
			delete(h.grants, key)
		}
	}
}

func (h *Holder) ensureGrant(key Key) *heldGrant {
	g := h.grants[key]
	if g == nil {
		g = &heldGrant{}
		h.grants[key] = g
	}
	return g
}
