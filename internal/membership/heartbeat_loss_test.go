package membership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/membership"
)

// TestLiveHostsStayReachableWithMessageLoss guards against bounded heartbeats that carry too few observations. With 5% loss of
// heartbeats and of responses, live hosts must stay reachable for each other. 64 hosts are more than twice the largest failure
// domain of the target size; up to 50 in 10,000 checks may fail there.
func TestLiveHostsStayReachableWithMessageLoss(t *testing.T) {
	for n, maxFailuresPerTenThousand := range map[int]int{9: 0, 27: 0, 64: 50} {
		t.Run(fmt.Sprintf("hosts=%d", n), func(t *testing.T) {
			failed, checks := simulateHeartbeats(n, 60)
			t.Logf("%d of %d checks found a live host unreachable", failed, checks)
			if failed*10000 > checks*maxFailuresPerTenThousand {
				t.Errorf("more than %d in 10,000 checks failed", maxFailuresPerTenThousand)
			}
		})
	}
}

// simulateHeartbeats simulates a failure domain of n hosts and returns how many checks of a live host were made and how many
// of them found the host unreachable.
func simulateHeartbeats(n, seconds int) (failed, checks int) {
	rng := rand.New(rand.NewPCG(uint64(1), 1))
	ids := hostIDs(n)
	tables := newTables(ids, 1)
	now := epoch
	for s := range seconds {
		for _, i := range rng.Perm(n) {
			now = now.Add(time.Second / time.Duration(n))
			exchangeHeartbeats(rng, tables, ids[i], now)
		}
		if s < 5 {
			continue
		}
		for _, a := range ids {
			checks += n - 1
			failed += n - len(tables[a].Members(now))
		}
	}
	return failed, checks
}

// exchangeHeartbeats sends one heartbeat of a host to its targets, which respond with their own heartbeats.
func exchangeHeartbeats(rng *rand.Rand, tables map[string]*membership.Table, from string, now time.Time) {
	hb := tables[from].Heartbeat(now)
	for _, to := range tables[from].Targets(rng) {
		if rng.Float64() < 0.05 {
			continue
		}
		tables[to].MergeHeartbeat(hb, now)
		if rng.Float64() >= 0.05 {
			tables[from].MergeHeartbeat(tables[to].Heartbeat(now), now)
		}
	}
}
