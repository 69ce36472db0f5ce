package entry

import (
	"context"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/foxtailtack/foxtailtack/internal/admission"
	"github.com/foxtailtack/foxtailtack/internal/config"
	"github.com/foxtailtack/foxtailtack/internal/policy"
	"github.com/foxtailtack/foxtailtack/internal/rank"
)

// metricsInterval is the time between two updates of the state metrics. It equals the reporting interval of package telemetry.
const metricsInterval = time.Second

// serviceState is the use of this host's slots of one service.
type serviceState struct {
	usage    admission.Usage
	headroom [rank.Count]float64
}

// stateSources are the functions from which stateMetrics reads the state of the process.
type stateSources struct {
	services    func() map[string]serviceState
	version     func() policy.Version
	configStats func() config.Stats
	storeCalls  func() uint64
	// peerBytes returns the bytes sent and received.
	peerBytes func() (uint64, uint64)
}

// stateMetrics publishes state that other components maintain. Only one goroutine may call update.
type stateMetrics struct {
	sources  stateSources
	scope    tally.Scope
	version  tally.Gauge
	services map[string]*serviceGauges
	// storeCalls, bytesSent and bytesReceived report cumulative totals.
	storeCalls, bytesSent, bytesReceived *cumulativeCounter
	changes                              map[string]*cumulativeCounter
	configEvents                         map[string]*cumulativeCounter
}

func newStateMetrics(scope tally.Scope, sources stateSources) *stateMetrics {
	return &stateMetrics{
		sources:       sources,
		scope:         scope,
		version:       scope.Gauge("config_version"),
		services:      map[string]*serviceGauges{},
		storeCalls:    newCumulativeCounter(scope, "store_calls"),
		bytesSent:     newCumulativeCounter(scope, "peer_bytes_sent"),
		bytesReceived: newCumulativeCounter(scope, "peer_bytes_received"),
		changes:       map[string]*cumulativeCounter{},
		configEvents:  map[string]*cumulativeCounter{},
	}
}

// update reads all sources once and updates the metrics.
func (m *stateMetrics) update() {
	m.version.Update(float64(m.sources.version()))
	m.storeCalls.setTotal(m.sources.storeCalls())
	sent, received := m.sources.peerBytes()
	m.bytesSent.setTotal(sent)
	m.bytesReceived.setTotal(received)
	m.updateConfig(m.sources.configStats())
	m.updateServices(m.sources.services())
}

func (m *stateMetrics) updateConfig(stats config.Stats) {
	for outcome, count := range map[string]uint64{
		"accepted":         stats.Applied,
		"already_accepted": stats.AlreadyAccepted,
		"conflict":         stats.Conflicts,
		"invalid":          stats.Invalid,
		"unavailable":      stats.Unavailable,
		"outcome_unknown":  stats.OutcomeUnknown,
		"failed":           stats.Failed,
	} {
		m.updateCounter(m.changes, "changes", "outcome", outcome, count)
	}
	for event, count := range map[string]uint64{
		"from_store":    stats.FromStore,
		"from_peer":     stats.FromPeers,
		"refused_lower": stats.RejectedLower,
		"store_failure": stats.StoreFailures,
		"peer_failure":  stats.PeerFailures,
	} {
		m.updateCounter(m.configEvents, "config_events", "event", event, count)
	}
}

func (m *stateMetrics) updateCounter(counters map[string]*cumulativeCounter, name, tag, value string, total uint64) {
	counter := counters[value]
	if counter == nil {
		counter = newCumulativeCounter(m.scope.Tagged(map[string]string{tag: value}), name)
		counters[value] = counter
	}
	counter.setTotal(total)
}

// updateServices updates the gauges of all services. It sets the gauges of a service that is no longer served to 0, because a
// gauge keeps its last value.
func (m *stateMetrics) updateServices(states map[string]serviceState) {
	for name := range states {
		if m.services[name] == nil {
			m.services[name] = newServiceGauges(m.scope, name)
		}
	}
	for name, gauges := range m.services {
		gauges.update(states[name])
	}
}

// serviceGauges are the gauges of one service.
type serviceGauges struct {
	usable                   tally.Gauge
	inUse, waiting, headroom [rank.Count]tally.Gauge
}

func newServiceGauges(scope tally.Scope, service string) *serviceGauges {
	scope = scope.Tagged(map[string]string{"service": service})
	g := &serviceGauges{usable: scope.Gauge("slots_usable")}
	for _, r := range rank.All() {
		rankScope := scope.Tagged(map[string]string{"rank": r.String()})
		g.inUse[r] = rankScope.Gauge("slots_in_use")
		g.waiting[r] = rankScope.Gauge("waiting")
		g.headroom[r] = rankScope.Gauge("headroom")
	}
	return g
}

func (g *serviceGauges) update(state serviceState) {
	g.usable.Update(float64(state.usage.Capacity))
	for _, r := range rank.All() {
		g.inUse[r].Update(float64(state.usage.InUse[r]))
		g.waiting[r].Update(float64(state.usage.Waiting[r]))
		g.headroom[r].Update(state.headroom[r])
	}
}

// cumulativeCounter reports a cumulative total that another component maintains as a counter.
type cumulativeCounter struct {
	counter   tally.Counter
	lastTotal uint64
}

func newCumulativeCounter(scope tally.Scope, name string) *cumulativeCounter {
	return &cumulativeCounter{counter: scope.Counter(name)}
}

func (c *cumulativeCounter) setTotal(total uint64) {
	if total <= c.lastTotal {
		return
	}
	c.counter.Inc(int64(total - c.lastTotal))
	c.lastTotal = total
}

// stateSources returns the sources that read the state of this process.
func (e *Entry) stateSources() stateSources {
	return stateSources{
		services: e.capacity.serviceStates,
		version: func() policy.Version {
			if snapshot := e.config.Snapshot(); snapshot != nil {
				return snapshot.Version
			}
			return 0
		},
		configStats: e.config.Stats,
		storeCalls:  e.store.Calls,
		peerBytes:   e.peers.Bytes,
	}
}

// serviceStates returns the use of this host's slots by service.
func (c *capacity) serviceStates() map[string]serviceState {
	states := map[string]serviceState{}
	for name, controller := range c.allControllers() {
		states[name] = serviceState{usage: controller.Usage(), headroom: controller.SmoothedHeadroom()}
	}
	return states
}

func (e *Entry) updateMetrics(context.Context) { e.stateMetrics.update() }
