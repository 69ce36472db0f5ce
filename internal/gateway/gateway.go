package gateway

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/rs/zerolog"

	"github.com/foxtailtack/foxtailtack/internal/backend"
	"github.com/foxtailtack/foxtailtack/internal/bodies"
	"github.com/foxtailtack/foxtailtack/internal/catalog"
	"github.com/foxtailtack/foxtailtack/internal/guard"
	"github.com/foxtailtack/foxtailtack/internal/listener"
	"github.com/foxtailtack/foxtailtack/internal/pause"
	"github.com/foxtailtack/foxtailtack/internal/placement"
	"github.com/foxtailtack/foxtailtack/internal/relay"
	"github.com/foxtailtack/foxtailtack/internal/settings"
	"github.com/foxtailtack/foxtailtack/internal/shutdown"
	"github.com/foxtailtack/foxtailtack/internal/telemetry"
	"github.com/foxtailtack/foxtailtack/internal/wait"
)

const (
	// gcMemoryShare is the share of the machine's memory that is set as the runtime's soft memory limit, from which
	// the runtime collects garbage more often.
	gcMemoryShare = 0.6
	// bodyMemoryShare is the share of the machine's memory that bodies may hold. A body takes up to three times its size while its
	// buffer grows and until the next garbage collection.
	bodyMemoryShare = 0.2
	// readAheadShare is the size of the memory for pipelined requests that were not parsed yet, relative to that for bodies: 3.4 MB on a host
	// with 136 MB.
	readAheadShare = 0.125
	// defaultBodyBudget is the memory for bodies, in bytes, if the memory of the machine is not known.
	defaultBodyBudget = 64 << 20
	// maxHeaderBytes bounds a request header.
	maxHeaderBytes = 64 << 10
)

// bodyBudget returns the number of bytes that bodies may hold. memoryMB is the memory of the machine, or zero if it is not known.
func bodyBudget(memoryMB int) int64 {
	if memoryMB <= 0 {
		return defaultBodyBudget
	}
	return int64(bodyMemoryShare * float64(memoryMB<<20))
}

// Paths holds the URL paths that callers and the platform request.
type Paths struct {
	Lookup string
	Ready  string
}

// Options holds the dependencies of a Gateway. All fields but Clock are required.
type Options struct {
	Settings  *settings.Gateway
	Dialect   Dialect
	Paths     Paths
	Store     relay.Store
	Registrar Registrar
	Log       zerolog.Logger
	// DroppedLines returns the number of log lines that were dropped.
	DroppedLines func() uint64
	// Clock returns the time since the machine's start, including suspended time. If it is nil, the machine's clock is used.
	Clock func() time.Duration
}

// Gateway is an entry host process.
type Gateway struct {
	settings     *settings.Gateway
	dialect      Dialect
	log          zerolog.Logger
	self         *catalog.Host
	source       *relay.Source
	follower     *catalog.Follower
	backends     *backend.Client
	pauses       *pause.Detector
	bodies       *bodies.Budget
	registration *registration
	metrics      *gatewayMetrics
	usage        *usageCaps
	homes        homeIndexes
	droppedLines func() uint64

	rootMetrics *telemetry.Metrics
	traces      *telemetry.Traces

	mu    sync.Mutex
	table *placement.Table
	rng   *rand.Rand

	// startedAt is the time at which New was called. For startupWait from then, requests wait for the first configuration.
	startedAt   time.Time
	startupWait time.Duration
	// stopping is true from SIGTERM on.
	stopping atomic.Bool
	// stopPlan is nil until SIGTERM.
	stopPlan atomic.Pointer[shutdown.Plan]
	// running is cancelled by endRunning when a stopping host answers the requests that still run.
	running        context.Context
	endRunning     context.CancelFunc
	activeRequests atomic.Int64
	listeners      []*listener.Listener
	// peerListener accepts connections of other hosts.
	peerListener net.Listener
}

// New returns a Gateway that listens on its addresses and does not serve yet.
func New(o Options) (*Gateway, error) {
	s := o.Settings
	if s.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(gcMemoryShare * float64(s.MemoryLimitMB<<20)))
	}
	traces, err := telemetry.NewTraces(s.HostID, s.Log.TraceSample)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	g := &Gateway{
		settings: s, dialect: o.Dialect, log: o.Log.With().Str("region", s.Region).Logger(), traces: traces, droppedLines: o.DroppedLines, startedAt: time.Now(), startupWait: startupWait,
		self: &catalog.Host{
			ID: s.HostID, Incarnation: catalog.Incarnation(time.Now().UnixMilli()), FailureDomain: s.FailureDomain, Region: s.Region,
			CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress,
		},
		backends: backend.NewClientFor(o.Dialect.Protocol()),
		bodies:   bodies.NewBudget(bodyBudget(s.MemoryLimitMB)),
		table:    placement.NewTable(placement.Settings{RetryRatio: s.Bounds.RetryRatio, RetrySlack: s.Bounds.RetrySlack}, s.HostID, s.FailureDomain, s.FailureDomains),
		rng:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	g.running, g.endRunning = context.WithCancel(context.Background())
	g.source = relay.NewSource(o.Store, g.self, s.Bootstrap, s.Bounds.Change(), func() *catalog.View { return g.follower.View() }, func(c *catalog.Configuration) { g.follower.ReceiveConfiguration(c) }, o.Log)
	g.follower = catalog.NewFollower(g.source, o.Log)
	g.pauses = pause.New(o.Clock, g.onPause)
	g.rootMetrics = telemetry.NewMetrics(map[string]string{"host": s.HostID, "failure_domain": s.FailureDomain})
	g.metrics = newGatewayMetrics(g.rootMetrics.Scope)
	g.usage = newUsageCaps(g.self, g.follower.View, relay.NewUsageClient(nil), g.rootMetrics.Scope, g.log)
	g.registration = &registration{registrar: o.Registrar, configured: g.follower.Configured(), host: g.self, isListed: g.isListed, isNeededInRegion: g.isNeededInRegion, storeFailed: g.storeFailed, storeResponded: g.storeResponded, knownEra: func() catalog.Era { return g.follower.View().Revision.Era() }, readsStore: g.source.ReadsStore, isReader: g.source.IsReader, maxDeadHostTime: s.Bounds.DeadHostListingLimit(), log: o.Log}
	// A live host notices within the TTL of its lease that the lease is gone. Look-ups then list a host that died before a restoration of
	// the store no longer than one whose lease expires.
	g.follower.SetHostGrace(leaseTTL(s.Bounds.DeadHostListingLimit(), false))
	g.follower.SetStopGrace(s.Bounds.StopGrace())
	g.follower.SetHeartbeat(s.Bounds.ServerHeartbeat())
	g.follower.Subscribe(g.applyView)
	return g, g.bind(o.Paths)
}

// confirmationInterval is the time between two reports of how old the view is. It is short compared with the times after which a host
// counts as cut off.
const confirmationInterval = time.Second

// reportConfirmations periodically records in the table up to which time the store has confirmed the view, until ctx is done.
func (g *Gateway) reportConfirmations(ctx context.Context) {
	for ctx.Err() == nil {
		if at, _ := g.follower.ConfirmedAt(); !at.IsZero() {
			g.withTable(func(t *placement.Table) { t.Confirm(at) })
			g.usage.confirm(at)
		}
		wait.For(ctx, confirmationInterval)
	}
}

// closeTelemetry stops the reporting of metrics and traces.
func (g *Gateway) closeTelemetry() {
	if err := g.rootMetrics.Close(); err != nil {
		g.log.Warn().Err(err).Msg("metrics_not_closed")
	}
	if err := g.traces.Close(context.Background()); err != nil {
		g.log.Warn().Err(err).Msg("traces_not_closed")
	}
}

// withTable calls use with the lock of the table held, and releases the lock even if use panics.
func (g *Gateway) withTable(use func(t *placement.Table)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	use(g.table)
}

// onPause is called after a pause of the process. During the pause, open connections may have been closed and the known state may
// have become stale, so it closes the idle connections and reads the state again.
func (g *Gateway) onPause(length time.Duration) {
	g.log.Warn().Dur("paused_ms", length).Int64("active", g.activeRequests.Load()).Msg("process_was_paused")
	g.backends.CloseIdle()
	g.usage.paused(time.Now())
	g.follower.Relist()
}

// isListed reports whether the catalog has the entry of this incarnation of the host.
func (g *Gateway) isListed() bool {
	h := g.follower.View().Hosts[g.self.ID]
	return h != nil && h.Incarnation == g.self.Incarnation
}

// isNeededInRegion reports whether the region has too few other hosts for a look-up response. If it has one, that may stop too.
func (g *Gateway) isNeededInRegion() bool {
	others := 0
	for id, h := range g.follower.View().Hosts {
		if id != g.self.ID && h.Region == g.self.Region {
			others++
		}
	}
	return others < minLookupHosts
}

// storeFailed and storeResponded report the result of a registration call to the follower if this host reads the store directly.
// storeResponded reports it to the source as well.
func (g *Gateway) storeFailed(ctx context.Context, call string, err error) {
	if g.source.ReadsStore() {
		g.follower.ReportFailure(ctx, call, err)
	}
}

func (g *Gateway) storeResponded(era catalog.Era) {
	g.source.StoreResponded()
	if g.source.ReadsStore() {
		g.follower.ReportResponse(era)
	}
}

// applyView applies a new view to the table, the connections and the listener for callers.
func (g *Gateway) applyView(view *catalog.View) {
	g.withTable(func(t *placement.Table) { t.Configure(view, time.Now()) })
	g.metrics.recordEra(view.Revision)
	g.usage.configure(view, time.Now())
	closeRemovedServers(g.backends, view)
	g.backends.SetStandby(view.Configuration != nil && view.Configuration.PlacesByCost())
	if l := g.listener(callerListener); l != nil && view.Configuration != nil {
		l.SetIdleLimit(view.Configuration.Limits.IdleTimeout)
	}
}

func (g *Gateway) bind(paths Paths) error {
	lookup := mux.NewRouter()
	lookup.HandleFunc(paths.Lookup, g.serveLookup).Methods(http.MethodGet)
	ready := mux.NewRouter()
	ready.HandleFunc(paths.Ready, g.serveReady).Methods(http.MethodGet)
	peerListener, err := net.Listen("tcp", g.settings.PeerAddress.String())
	if err != nil {
		return Error.New("peer_address: %v", err)
	}
	g.peerListener = peerListener
	g.self.PeerAddress = peerListener.Addr().(*net.TCPAddr).AddrPort()
	admin := mux.NewRouter()
	admin.Handle("/metrics", g.rootMetrics.Handler)
	admin.Handle("/traces", g.traces)
	admin.HandleFunc(usagePath, g.serveUsage).Methods(http.MethodGet)
	g.registerExplain(admin)
	for _, l := range []struct {
		name    string
		address netip.AddrPort
		handler http.Handler
	}{
		{callerListener, g.settings.CallerAddress, g},
		{"lookup_address", g.settings.LookupAddress, lookup},
		{"ready_address", g.settings.ReadyAddress, ready},
		{"admin_address", g.settings.AdminAddress, admin},
	} {
		options := listener.Options{Name: l.name, Address: l.address, Handler: l.handler, MaxHeaderBytes: maxHeaderBytes, Log: g.log}
		if l.name == callerListener {
			options.MayRunConcurrently = g.mayRunPipelined
			options.MaxReadAheadBytes = int64(readAheadShare * float64(bodyBudget(g.settings.MemoryLimitMB)))
		}
		server, err := listener.Listen(options)
		if err != nil {
			return err
		}
		if l.name == callerListener {
			g.self.CallerAddress = server.Address()
		}
		g.listeners = append(g.listeners, server)
	}
	return nil
}

// callerListener is the settings key of the address for callers, and the name of its listener.
const callerListener = "caller_address"

// Address returns the bound address of a settings key such as "caller_address", or the zero value if no listener has this key.
func (g *Gateway) Address(key string) netip.AddrPort {
	if l := g.listener(key); l != nil {
		return l.Address()
	}
	return netip.AddrPort{}
}

// PeerAddress returns the bound address for other hosts.
func (g *Gateway) PeerAddress() netip.AddrPort { return g.self.PeerAddress }

// listener returns the listener of a settings key, or nil if there is none.
func (g *Gateway) listener(key string) *listener.Listener {
	for _, l := range g.listeners {
		if l.Name() == key {
			return l
		}
	}
	return nil
}

// Run serves until ctx is done, and then completes running requests within the grace period before it returns.
func (g *Gateway) Run(ctx context.Context) error {
	failed := make(chan error, len(g.listeners)+1)
	for _, l := range g.listeners {
		go func() {
			if err := l.Serve(); err != nil || !g.stopping.Load() {
				failed <- Error.New("listener %s stopped: %v", l.Name(), err)
			}
		}()
	}
	defer g.closeTelemetry()
	go func() {
		if err := relay.Serve(g.peerListener, g.follower, relay.Receivers{Load: g.receiveLoad, Usage: g.usage}, g.log); !g.stopping.Load() {
			failed <- Error.New("peer_address: %v", err)
		}
	}()
	backgroundCtx, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	go guard.Loop(backgroundCtx, g.log, "follower", g.follower.Run)
	go guard.Loop(backgroundCtx, g.log, "expiry", g.follower.RunExpiry)
	go guard.Loop(backgroundCtx, g.log, "departures", func(ctx context.Context) { g.source.RunDepartures(ctx, g.follower) })
	go guard.Loop(backgroundCtx, g.log, "distances", g.measureRoundTrips)
	go guard.Loop(backgroundCtx, g.log, "pauses", g.pauses.Run)
	go guard.Loop(backgroundCtx, g.log, "load reports", g.publishLoad)
	go guard.Loop(backgroundCtx, g.log, "standby", g.backends.RunStandby)
	go guard.Loop(backgroundCtx, g.log, "confirmations", g.reportConfirmations)
	go guard.Loop(backgroundCtx, g.log, "usage caps", g.usage.run)
	defer g.usage.client.Close()
	go g.metrics.reportGauges(backgroundCtx, g.droppedLines, g.bodies.Held)
	registrationCtx, stopRegistration := context.WithCancel(backgroundCtx)
	defer stopRegistration()
	unregistered := make(chan struct{})
	go func() {
		defer close(unregistered)
		guard.Loop(registrationCtx, g.log, "registration", g.registration.run)
		g.registration.unregister()
	}()
	g.log.Info().Str("caller_address", g.settings.CallerAddress.String()).Int64("incarnation", int64(g.self.Incarnation)).Msg("started")
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		stopRegistration()
		g.stop()
		<-unregistered
		return nil
	}
}
