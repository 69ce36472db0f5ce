package entry

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
)

// newTwoDomainPolicy returns a policy with hosts a0 to a3 in failure domain a and b0 in b.
func newTwoDomainPolicy(t *testing.T) *policy.Snapshot {
	t.Helper()
	address := func(n int) netip.AddrPort {
		return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(n))
	}
	doc := &policy.Document{
		Deployment:     "test",
		Regions:        []policy.Region{{Name: "r"}},
		FailureDomains: []policy.FailureDomain{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}},
		Services:       []policy.Service{{Name: "s", Team: "t", Routes: []policy.Route{{PathPrefix: "/", Rank: rank.Urgent}}}},
		BackendServers: []policy.BackendServer{{ID: "s1", Service: "s", FailureDomain: "a", Address: address(1), Slots: 3}},
	}
	for i, id := range []string{"a0", "a1", "a2", "a3", "b0"} {
		doc.Hosts = append(doc.Hosts, policy.Host{
			ID: id, FailureDomain: id[:1], CallerAddress: address(10*i + 10), PeerAddress: address(10*i + 11), AdminAddress: address(10*i + 12),
		})
	}
	snapshot, err := policy.Compile(doc, 1, "c")
	if err != nil {
		t.Fatal(err)
	}
	return snapshot
}

// newClusterWithPeers returns the cluster of a host of failure domain a that has received a heartbeat of each of the other three
// hosts and a summary of b.
func newClusterWithPeers(t *testing.T, self string, snapshot *policy.Snapshot, now time.Time) *cluster {
	t.Helper()
	options := slotOptions(snapshot)
	c := newCluster(self, "a", options, rand.New(rand.NewPCG(1, 1)), now)
	c.configure(snapshot, options, now)
	for i := range 4 {
		from := membership.Member{ID: fmt.Sprint("a", i), Incarnation: 1, Counter: 1, State: membership.Serving}
		c.table.MergeHeartbeat(membership.Heartbeat{From: from}, now)
	}
	c.table.MergeSummary(membership.Summary{FailureDomain: "b", Origin: "b0", OriginIncarnation: 1, Sequence: 1}, now)
	return c
}

// A delegate receives one summary regardless of the ones it knows. A list of known summaries in each exchange would make its
// bytes grow with the square of the number of failure domains.
func TestDelegateExchangeOmitsKnownSummaries(t *testing.T) {
	now := time.Now()
	snapshot := newTwoDomainPolicy(t)
	exchange, targets := newClusterWithPeers(t, "a1", snapshot, now).summaryExchange(snapshot, now)
	if exchange.Own == nil || len(exchange.Known) != 0 || len(targets) != 1 || targets[0] != "b0" {
		t.Fatalf("exchange %+v with %v, want the own summary for b0 only", exchange, targets)
	}
}

// A host that is no delegate must send the list of summaries that it knows, or it would receive every summary each time. The
// exchanges of these hosts must be spread over both delegates.
func TestNonDelegatesExchangeWithBothDelegates(t *testing.T) {
	now := time.Now()
	snapshot := newTwoDomainPolicy(t)
	c := newClusterWithPeers(t, "a3", snapshot, now)
	exchanges := map[string]int{}
	for range 200 {
		exchange, targets := c.summaryExchange(snapshot, now)
		if exchange.Own != nil || len(exchange.Known) != 1 || len(targets) != 1 {
			t.Fatalf("exchange %+v with %v, want the known summaries for one delegate", exchange, targets)
		}
		exchanges[targets[0]]++
	}
	if len(exchanges) != 2 || min(exchanges["a0"], exchanges["a1"]) < 60 {
		t.Fatalf("exchanges %v, want both delegates about equally often", exchanges)
	}
}
