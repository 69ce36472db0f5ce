package grants

import (
	"slices"
	"strings"
	"time"
)

// fairShare returns the max-min fair share of the pool for one of the hosts that sent a grant request within
// requesterRetention: no host gets more than it wants, and what a host does not want is divided among the others. A single
// host may get the whole pool. A second host then gets its share when the first one renews its grant, within two lifetimes
// of a grant. Hosts with a less urgent rank than the requester are not considered.
func fairShare(holders map[holderKey]*allocation, requester holderKey, pool int, now time.Time) int {
	type want struct {
		key   holderKey
		count int
	}
	demands := make([]want, 0, len(holders))
	for key, h := range holders {
		if h.want > 0 && key.rank <= requester.rank && now.Sub(h.requestedAt) < requesterRetention {
			demands = append(demands, want{key, h.want})
		}
	}
	slices.SortFunc(demands, func(a, b want) int {
		if a.count != b.count {
			return a.count - b.count
		}
		if a.key.rank != b.key.rank {
			return int(a.key.rank) - int(b.key.rank)
		}
		return strings.Compare(a.key.host, b.key.host)
	})
	remainingSlots := pool
	for i, w := range demands {
		// The share is rounded up, so that a host whose share is below one slot can get one if its request comes first.
		remainingHosts := len(demands) - i
		share := min(w.count, (remainingSlots+remainingHosts-1)/remainingHosts)
		if w.key == requester {
			return share
		}
		remainingSlots -= share
	}
	return 0
}
