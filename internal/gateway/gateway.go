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
	"github.com/foxtailtack/foxtailtack/internal/telemetry"
)

const (
	// memoryShare is the part of the machine's memory from which the runtime collects garbage more often.
	memoryShare = 0.6
	// bodyShare is the part of the machine's memory that bodies may hold. While a body grows, and until the next collection, it takes
	// up to three times its size.
	bodyShare = 0.2
	// defaultBodyBudget is the memory for bodies, in bytes, if that of the machine is not known.
	defaultBodyBudget = 64 << 20
	// maxHeaderBytes bounds a request header.
	maxHeaderBytes = 64 << 10
)

// bodyBudget returns the bytes that bodies may hold on a machine with a memory in MB, 0 if the memory is not known.
func bodyBudget(memoryMB int) int64 {
	if memoryMB <= 0 {
		return defaultBodyBudget
	}
	return int64(bodyShare * float64(memoryMB<<20))
}

// Paths names the calls that callers and the platform make.
type Paths struct {
	Lookup string
	Ready  string
}

// Options holds what a Gateway works with. All fields but Clock are required.
type Options struct {
	Settings  *settings.Gateway
	Dialect   Dialect
	Paths     Paths
	Store     relay.Store
	Registrar Registrar
	Log       zerolog.Logger
	// DroppedLines returns the number of log lines that were dropped.
	DroppedLines func() uint64
	// Clock returns the time since the machine's start, suspended time included. Nil stands for the machine's clock.
	Clock func() time.Duration
}

// Gateway is an entry host process.
type Gateway struct {
	settings *settings.Gateway
	dialect  Dialect
	log      zerolog.Logger
	self     *catalog.Host
	source   *relay.Source
	follower *catalog.Follower
	backends *backend.Client
	pauses   *pause.Detector
	bodies   *bodies.Budget
	register *registration
	metrics  *gatewayMetrics
	dropped  func() uint64

	rootMetrics *telemetry.Metrics
	traces      *telemetry.Traces

	mu    sync.Mutex
	table *placement.Table
	rng   *rand.Rand

	// created is the time of the process's start.
	created time.Time
	// stopping is true from SIGTERM on.
	stopping atomic.Bool
	active   atomic.Int64
	servers  []*listener.Listener
	// peers is the listener for other hosts.
	peers net.Listener
}

// New prepares a process and binds its addresses.
func New(o Options) (*Gateway, error) {
	s := o.Settings
	if s.MemoryLimitMB > 0 {
		debug.SetMemoryLimit(int64(memoryShare * float64(s.MemoryLimitMB<<20)))
	}
	traces, err := telemetry.NewTraces(s.HostID, s.Log.TraceSample)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	g := &Gateway{
		settings: s, dialect: o.Dialect, log: o.Log, traces: traces, dropped: o.DroppedLines, created: time.Now(),
		self: &catalog.Host{
			ID: s.HostID, Incarnation: catalog.Incarnation(time.Now().UnixMilli()), FailureDomain: s.FailureDomain, Region: s.Region,
			CallerAddress: s.CallerAddress, PeerAddress: s.PeerAddress,
		},
		backends: backend.NewClientFor(o.Dialect.Protocol()),
		bodies:   bodies.NewBudget(bodyBudget(s.MemoryLimitMB)),
		table:    placement.NewTable(placement.Settings{RetryRatio: s.Bounds.RetryRatio, RetrySlack: s.Bounds.RetrySlack}, s.HostID, s.FailureDomain, s.FailureDomains),
		rng:      rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	}
	g.source = relay.NewSource(o.Store, g.self, s.Bootstrap, func() *catalog.View { return g.follower.View() }, o.Log)
	g.follower = catalog.NewFollower(g.source, o.Log)
	g.pauses = pause.New(o.Clock, g.paused)
	g.rootMetrics = telemetry.NewMetrics(map[string]string{"host": s.HostID, "failure_domain": s.FailureDomain})
	g.metrics = newGatewayMetrics(g.rootMetrics.Scope)
	g.register = &registration{registrar: o.Registrar, host: g.self, listed: g.isListed, failed: g.storeFailed, answered: g.storeAnswered, reads: g.source.ReadsStore, reader: g.source.IsReader, deadHost: s.Bounds.DeadHost(), log: o.Log}
	g.follower.Subscribe(g.configure)
	return g, g.bind(o.Paths)
}

// closeTelemetry ends what reports metrics and traces.
func (g *Gateway) closeTelemetry() {
	if err := g.rootMetrics.Close(); err != nil {
		g.log.Warn().Err(err).Msg("metrics_not_closed")
	}
	if err := g.traces.Close(context.Background()); err != nil {
		g.log.Warn().Err(err).Msg("traces_not_closed")
	}
}

// withTable calls a function with the table. The lock is free again also after an unexpected error.
func (g *Gateway) withTable(use func(t *placement.Table)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	use(g.table)
}

// paused is called when the process stood still for a while. Open connections may have ended meanwhile, and what it believes is old.
func (g *Gateway) paused(length time.Duration) {
	g.log.Warn().Dur("paused_ms", length).Int64("active", g.active.Load()).Msg("process_was_paused")
	g.backends.CloseIdle()
	g.follower.Relist()
}

// isListed reports whether the catalog has this process's entry.
func (g *Gateway) isListed() bool {
	h := g.follower.View().Hosts[g.self.ID]
	return h != nil && h.Incarnation == g.self.Incarnation
}

// storeFailed and storeAnswered tell the follower of other calls to the store, if it reads the store itself.
func (g *Gateway) storeFailed(ctx context.Context, call string, err error) {
	if g.source.ReadsStore() {
		g.follower.ReportFailure(ctx, call, err)
	}
}

func (g *Gateway) storeAnswered() {
	g.source.StoreResponded()
	if g.source.ReadsStore() {
		g.follower.ReportResponse()
	}
}

// configure takes a new view into use.
func (g *Gateway) configure(view *catalog.View) {
	g.withTable(func(t *placement.Table) { t.Configure(view, time.Now()) })
	retain(g.backends, view)
	if l := g.listener(callerListener); l != nil && view.Configuration != nil {
		l.SetIdleLimit(view.Configuration.Limits.IdleTimeout)
	}
}

func (g *Gateway) bind(paths Paths) error {
	lookup := mux.NewRouter()
	lookup.HandleFunc(paths.Lookup, g.serveLookup).Methods(http.MethodGet)
	ready := mux.NewRouter()
	ready.HandleFunc(paths.Ready, g.serveReady).Methods(http.MethodGet)
	peers, err := net.Listen("tcp", g.settings.PeerAddress.String())
	if err != nil {
		return Error.New("peer_address: %v", err)
	}
	g.peers = peers
	g.self.PeerAddress = peers.Addr().(*net.TCPAddr).AddrPort()
	admin := mux.NewRouter()
	admin.Handle("/metrics", g.rootMetrics.Handler)
	admin.Handle("/traces", g.traces)
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
			options.Early = g.mayRunEarly
		}
		server, err := listener.Listen(options)
		if err != nil {
			return err
		}
		if l.name == callerListener {
			g.self.CallerAddress = server.Address()
		}
		g.servers = append(g.servers, server)
	}
	return nil
}

// callerListener is the settings key of the address for callers.
const callerListener = "caller_address"

// Address returns the address on which the process listens for a settings key such as "caller_address".
func (g *Gateway) Address(key string) netip.AddrPort {
	if l := g.listener(key); l != nil {
		return l.Address()
	}
	return netip.AddrPort{}
}

// PeerAddress returns the address on which the process listens for other hosts.
func (g *Gateway) PeerAddress() netip.AddrPort { return g.self.PeerAddress }

// listener returns the listener of a settings key, nil if there is none.
func (g *Gateway) listener(key string) *listener.Listener {
	for _, l := range g.servers {
		if l.Name() == key {
			return l
		}
	}
	return nil
}

// Run serves until ctx ends, and then stops without cutting requests.
func (g *Gateway) Run(ctx context.Context) error {
	failed := make(chan error, len(g.servers)+1)
	for _, l := range g.servers {
		go func() {
			if err := l.Serve(); err != nil || !g.stopping.Load() {
				failed <- Error.New("serving at %s ended: %v", l.Name(), err)
			}
		}()
	}
	defer g.closeTelemetry()
	go func() {
		if err := relay.Serve(g.peers, g.follower, g.log); !g.stopping.Load() {
			failed <- Error.New("peer_address: %v", err)
		}
	}()
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	go guard.Loop(background, g.log, "follower", g.follower.Run)
	go guard.Loop(background, g.log, "expiry", g.follower.RunExpiry)
	go guard.Loop(background, g.log, "distances", g.measureDistances)
	go guard.Loop(background, g.log, "pauses", g.pauses.Run)
	go g.metrics.reportDropped(background, g.dropped)
	registered, leave := context.WithCancel(background)
	defer leave()
	left := make(chan struct{})
	go func() {
		defer close(left)
		guard.Loop(registered, g.log, "registration", g.register.run)
		g.register.leave()
	}()
	g.log.Info().Str("caller_address", g.settings.CallerAddress.String()).Int64("incarnation", int64(g.self.Incarnation)).Msg("started")
	select {
	case err := <-failed:
		return err
	case <-ctx.Done():
		leave()
		g.stop()
		<-left
		return nil
	}
}
