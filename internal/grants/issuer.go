package grants

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/rank"
)

const (
	// minRejectionLife and maxRejectionLife bound the jittered time after which a rejected host may send the next grant
	// request. The time is far below MaxLife, so that capacity that becomes free is used soon, and jittered so that
	// rejected hosts do not send their requests at the same time.
	minRejectionLife = 100 * time.Millisecond
	maxRejectionLife = 300 * time.Millisecond
	// requesterRetention is the time for which a host counts for the fair share after its last grant request.
	requesterRetention = MaxLife
)

// Issuer decides how much of this host's headroom is granted to other hosts. It is the target side of the package and not
// safe for concurrent use.
//
// A grant is a number of concurrent requests, and a later grant to the same host replaces the earlier one. Requests that run
// under a grant already lower the headroom. They are reported with RecordAdmitted and RecordCompleted, so that they are not
// counted twice. Without these calls the issuer grants less, never more.
type Issuer struct {
	rng      *rand.Rand
	services map[string]map[holderKey]*allocation
}

type holderKey struct {
	host string
	rank rank.Rank
}

// allocation is what one host was granted and uses for one service and rank.
type allocation struct {
	// liveGrants holds the grants that have not expired at the holder. A response may be lost, so an earlier and larger
	// grant may still be in use after a later one was issued.
	liveGrants  []issuedGrant
	running     int
	want        int
	requestedAt time.Time
}

type issuedGrant struct {
	count     int
	expiresAt time.Time
}

// NewIssuer returns an Issuer without outstanding grants. The random source jitters the wait time of rejections.
func NewIssuer(rng *rand.Rand) *Issuer {
	return &Issuer{rng: rng, services: make(map[string]map[holderKey]*allocation)}
}

// Issue returns the response to a grant request. free is the unsmoothed number of slots that a request of the rank could take
// now. reserve is the part of it that is kept for the requests of this failure domain.
//
// Unless it is a rejection, the new grant keeps this bound: the grants to all hosts for the service, of any rank, are in sum
// at most free minus reserve plus the number of running granted requests.
func (i *Issuer) Issue(req Request, free, reserve float64, now time.Time) Grant {
	key := holderKey{req.From, req.Rank}
	own := i.ensureAllocation(req.Service, key)
	own.want, own.requestedAt = max(0, req.Want), now
	holders := i.services[req.Service]
	deleteExpired(holders, now)

	pool := max(0, free-reserve) + float64(totalRunning(holders))
	available := int(math.Floor(pool)) - committedToOthers(holders, key)
	count := min(own.want, available, fairShare(holders, key, int(pool), now))
	if count <= 0 {
		return Grant{Life: i.rejectionLife()}
	}
	own.liveGrants = append(own.liveGrants, issuedGrant{count, now.Add(MaxLife)})
	return Grant{Count: count, Life: MaxLife}
}

// RecordAdmitted counts a request of the host that was admitted here. Each call must be followed by one RecordCompleted.
func (i *Issuer) RecordAdmitted(from, service string, r rank.Rank) {
	i.ensureAllocation(service, holderKey{from, r}).running++
}

// RecordCompleted records that a request counted by RecordAdmitted has completed.
func (i *Issuer) RecordCompleted(from, service string, r rank.Rank) {
	if h := i.services[service][holderKey{from, r}]; h != nil && h.running > 0 {
		h.running--
	}
}

// Outstanding returns the number of concurrent requests for the service that other hosts may run here under their grants.
func (i *Issuer) Outstanding(service string, now time.Time) int {
	deleteExpired(i.services[service], now)
	return committedToOthers(i.services[service], holderKey{})
}

// ensureAllocation returns the allocation for the key and creates it if needed.
func (i *Issuer) ensureAllocation(service string, key holderKey) *allocation {
	holders := i.services[service]
	if holders == nil {
		holders = make(map[holderKey]*allocation)
		i.services[service] = holders
	}
	h := holders[key]
	if h == nil {
		h = &allocation{}
		holders[key] = h
	}
	return h
}

func (i *Issuer) rejectionLife() time.Duration {
	return minRejectionLife + time.Duration(i.rng.Int64N(int64(maxRejectionLife-minRejectionLife)))
}

// deleteExpired deletes expired grants, and allocations without live grants, running requests and a recent grant request.
func deleteExpired(holders map[holderKey]*allocation, now time.Time) {
	for key, h := range holders {
		kept := h.liveGrants[:0]
		for _, g := range h.liveGrants {
			if g.expiresAt.After(now) {
				kept = append(kept, g)
			}
		}
		h.liveGrants = kept
		if len(kept) == 0 && h.running == 0 && now.Sub(h.requestedAt) >= requesterRetention {
			delete(holders, key)
		}
	}
}

// committed returns the number of slots that the holder may use: the larger of its largest live grant and the number of its
// running requests.
func (h *allocation) committed() int {
	count := h.running
	for _, g := range h.liveGrants {
		count = max(count, g.count)
	}
	return count
}

func committedToOthers(holders map[holderKey]*allocation, except holderKey) int {
	sum := 0
	for key, h := range holders {
		if key != except {
			sum += h.committed()
		}
	}
	return sum
}

func totalRunning(holders map[holderKey]*allocation) int {
	sum := 0
	for _, h := range holders {
		sum += h.running
	}
	return sum
}
