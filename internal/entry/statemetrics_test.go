package entry

import (
	"context"
	"testing"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailtack/foxtailtack/internal/admission"
	"github.com/foxtailtack/foxtailtack/internal/config"
	"github.com/foxtailtack/foxtailtack/internal/forward"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
	"github.com/foxtailtack/foxtailtack/internal/result"
)

// fakeSources holds the values that the sources of a test return.
type fakeSources struct {
	services map[string]serviceState
	stats    config.Stats
	calls    uint64
	sent     uint64
}

func (f *fakeSources) sources() stateSources {
	return stateSources{
		services:    func() map[string]serviceState { return f.services },
		version:     func() policy.Version { return 7 },
		configStats: func() config.Stats { return f.stats },
		storeCalls:  func() uint64 { return f.calls },
		peerBytes:   func() (uint64, uint64) { return f.sent, f.sent / 2 },
	}
}

func wantGauges(t *testing.T, scope tally.TestScope, want map[string]float64) {
	t.Helper()
	gauges := scope.Snapshot().Gauges()
	for name, value := range want {
		if g, ok := gauges[name]; !ok || g.Value() != value {
			t.Errorf("gauge %s: got %v, want %v", name, g, value)
		}
	}
}

func wantCounters(t *testing.T, scope tally.TestScope, want map[string]int64) {
	t.Helper()
	counters := scope.Snapshot().Counters()
	for name, value := range want {
		if c, ok := counters[name]; !ok || c.Value() != value {
			t.Errorf("counter %s: got %v, want %v", name, c, value)
		}
	}
}

// A value under the wrong rank or service would show an overload where there is none.
func TestStateMetricsReportEachServiceAndRank(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	sources := &fakeSources{services: map[string]serviceState{"orders": {
		usage:    admission.Usage{Capacity: 9, InUse: [rank.Count]int{1, 2, 3}, Waiting: [rank.Count]int{4, 5, 6}},
		headroom: [rank.Count]float64{3, 1.5, 0},
	}}}
	newStateMetrics(scope, sources.sources()).update()
	wantGauges(t, scope, map[string]float64{
		"config_version+":                              7,
		"slots_usable+service=orders":                  9,
		"slots_in_use+rank=urgent,service=orders":      1,
		"slots_in_use+rank=interactive,service=orders": 2,
		"waiting+rank=deferrable,service=orders":       6,
		"headroom+rank=interactive,service=orders":     1.5,
		"headroom+rank=deferrable,service=orders":      0,
	})
}

// A gauge keeps its last value, so without a reset a removed service would appear as still served by this host.
func TestStateMetricsResetGaugesOfRemovedService(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	sources := &fakeSources{services: map[string]serviceState{"orders": {usage: admission.Usage{Capacity: 9}}}}
	metrics := newStateMetrics(scope, sources.sources())
	metrics.update()
	sources.services = nil
	metrics.update()
	wantGauges(t, scope, map[string]float64{"slots_usable+service=orders": 0})
}

// A cumulative total that another component maintains must not be added again at each update.
func TestStateMetricsCountCumulativeTotalsOnce(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	sources := &fakeSources{calls: 10, sent: 100, stats: config.Stats{Conflicts: 1, FromPeers: 2}}
	metrics := newStateMetrics(scope, sources.sources())
	metrics.update()
	metrics.update()
	sources.calls, sources.stats.Conflicts = 12, 2
	metrics.update()
	wantCounters(t, scope, map[string]int64{
		"store_calls+":                     12,
		"peer_bytes_sent+":                 100,
		"peer_bytes_received+":             50,
		"changes+outcome=conflict":         2,
		"changes+outcome=accepted":         0,
		"config_events+event=from_peer":    2,
		"config_events+event=peer_failure": 0,
	})
}

// fixedForwarder implements forward.Passer with a fixed result.
type fixedForwarder struct {
	response *forward.Response
	failure  *result.Failure
}

func (f fixedForwarder) ForwardTo(context.Context, string, *forward.Request) (*forward.Response, *result.Failure) {
	return f.response, f.failure
}

// A forwarded request with an unknown outcome may have run. Counting it as rejected would hide lost peers.
func TestForwardsAreCountedByOutcome(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	request := &forward.Request{Service: "orders", Rank: rank.Interactive}
	for _, forwarder := range []fixedForwarder{
		{response: &forward.Response{Code: result.OK}},
		{response: forward.FailureResponse(result.Fail(result.NoCapacity, "full"))},
		{failure: result.Fail(result.ConnectFailed, "refused")},
		{failure: result.Fail(result.PeerLost, "lost")},
	} {
		_, _ = countingForwarder{forwarder, scope}.ForwardTo(context.Background(), "h2", request)
	}
	wantCounters(t, scope, map[string]int64{
		"passes_sent+rank=interactive,service=orders":              4,
		"passes_refused+code=2001,rank=interactive,service=orders": 1,
		"passes_refused+code=2011,rank=interactive,service=orders": 1,
	})
	if _, counted := scope.Snapshot().Counters()["passes_refused+code=3005,rank=interactive,service=orders"]; counted {
		t.Error("a forwarded request with an unknown outcome counts as rejected")
	}
}
