package steering_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/foxtailtack/foxtailtack/internal/membership"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/steering"
)

// overflowScenario has a region with two failure domains and a second region. The planner is that of a host of the first failure
// domain.
type overflowScenario struct {
	planner  *steering.Planner
	overflow *steering.Overflow
	now      time.Time
	counter  uint64
}

const overflowSlots = 20

func newOverflowScenario(t interface {
	Helper()
	Fatal(args ...any)
}) *overflowScenario {
	t.Helper()
	doc := overflowDocument()
	snapshot, err := policy.Compile(doc, 1, "c1")
	if err != nil {
		t.Fatal(err)
	}
	return &overflowScenario{
		planner:  steering.New(snapshot, "a", "north-1", rand.New(rand.NewPCG(1, 1))),
		overflow: steering.NewOverflow(),
		now:      time.Unix(1_000_000, 0),
	}
}

// report passes the free slots of the other failure domains to the planner.
func (w *overflowScenario) report(north2, south1 float64) {
	w.counter++
	for domain, free := range map[string]float64{"north-2": north2, "south-1": south1} {
		w.planner.Observe(domain, membership.Member{
			ID: domain + "-host", Incarnation: 1, Counter: w.counter, State: membership.Serving,
			Headroom: []membership.Headroom{{Service: "s", Usable: overflowSlots, Free: [rank.Count]float64{free, free, free}}},
		}, w.now)
	}
}

func (w *overflowScenario) update(ownFree float64, step time.Duration) float64 {
	w.now = w.now.Add(step)
	w.overflow.Update(w.planner, steering.OwnLoad{
		FailureDomain: "north-1",
		Usable:        map[string]int{"s": overflowSlots},
		Free:          map[string][rank.Count]float64{"s": {ownFree, ownFree, ownFree}},
	}, w.now)
	return w.overflow.Share("north-1", "s")
}

// Callers must not be moved when no other failure domain of the region has spare capacity, even if another region is idle.
func TestOverflowStaysZeroWithoutSpareCapacityInTheRegion(t *testing.T) {
	w := newOverflowScenario(t)
	for range 60 {
		w.report(0, overflowSlots)
		if share := w.update(0, time.Second); share != 0 {
			t.Fatalf("share is %v without spare capacity in the region, want 0", share)
		}
	}
}

// Reports lag by some seconds, and callers cache look-up responses for their time to live. An overload of one failure domain by half
// must still be shared without oscillation: the receiving failure domain must never become full, and the share must settle near the
// third that exceeds the capacity.
func TestOverflowSettlesWithDelayedReports(t *testing.T) {
	const (
		offered = 1.5 * overflowSlots * 0.85
		lag     = 5
	)
	w := newOverflowScenario(t)
	shares := make([]float64, 0, 300)
	at := func(i int) float64 {
		if i < 0 {
			return 0
		}
		return shares[i]
	}
	for i := range 300 {
		moved := offered * at(i-lag)
		own := max(0, overflowSlots*0.85-(offered-moved))
		otherFree := overflowSlots*0.85 - moved
		if otherFree < 0.1*overflowSlots {
			t.Fatalf("second %d: the other failure domain has %.1f slots free, so the overload only moved there", i, otherFree)
		}
		w.report(otherFree, overflowSlots*0.85)
		shares = append(shares, w.update(own, time.Second))
	}
	low, high := 1.0, 0.0
	for _, s := range shares[100:] {
		low, high = min(low, s), max(high, s)
	}
	if low < 0.2 || high > 0.65 {
		t.Fatalf("after 100 s the share oscillates between %.2f and %.2f, want it to stay near 0.33 to 0.45", low, high)
	}
}

// The share must stay between 0 and maxOverflow and change no faster than the bounds, whatever is reported and however long the
// process was paused.
func TestOverflowBoundsShareAndItsChange(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newOverflowScenario(t)
		last := 0.0
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w.report(rapid.Float64Range(0, overflowSlots).Draw(t, "neighbour"), rapid.Float64Range(0, overflowSlots).Draw(t, "far"))
			step := time.Duration(rapid.IntRange(0, 20_000).Draw(t, "step_ms")) * time.Millisecond
			share := w.update(rapid.Float64Range(0, overflowSlots).Draw(t, "own"), step)
			seconds := min(step, 2*time.Second).Seconds()
			if share < 0 || share > 0.8 || share-last > 0.02*seconds+1e-9 || last-share > 0.02*seconds+1e-9 {
				t.Fatalf("share moved from %v to %v in %s", last, share, step)
			}
			last = share
		}
	})
}

func overflowDocument() *policy.Document {
	doc := &policy.Document{Deployment: "overflow"}
	doc.Regions = []policy.Region{{Name: "north"}, {Name: "south"}}
	doc.FailureDomains = []policy.FailureDomain{{Name: "north-1", Region: "north"}, {Name: "north-2", Region: "north"}, {Name: "south-1", Region: "south"}}
	doc.Distances = []policy.Distance{{A: "north", B: "north", OneWayMs: 4}, {A: "north", B: "south", OneWayMs: 55}}
	doc.Services = []policy.Service{{Name: "s", Team: "t", Routes: []policy.Route{{PathPrefix: "/"}}}}
	for i, d := range doc.FailureDomains {
		id := d.Name + "-host"
		if i == 0 {
			id = "a"
		}
		doc.Hosts = append(doc.Hosts, policy.Host{
			ID: id, FailureDomain: d.Name, CallerAddress: overflowAddress(i, 1), PeerAddress: overflowAddress(i, 2), AdminAddress: overflowAddress(i, 3),
		})
		doc.BackendServers = append(doc.BackendServers, policy.BackendServer{
			ID: d.Name + "-server", Service: "s", FailureDomain: d.Name, Address: overflowAddress(i, 4), Slots: overflowSlots,
		})
	}
	return doc
}

func overflowAddress(host, kind int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(1 + host)}), uint16(8000+kind))
}
